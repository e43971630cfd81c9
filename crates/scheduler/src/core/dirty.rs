//! Jobs that differ from what the store holds, in the order in which they came to.

use std::collections::BTreeMap;

use crate::job::Id;

/// Jobs that differ from what the store holds.
///
/// Answers more changes than writes can carry: whichever waits longest is written first.
#[derive(Clone, Debug, Default)]
pub(super) struct Dirty {
    by_position: BTreeMap<u64, Id>,
    positions: BTreeMap<Id, u64>,
    next_position: u64,
}

impl Dirty {
    /// Adds a job at the end; one that waits already keeps its place.
    pub(super) fn insert(&mut self, id: Id) {
        if self.positions.contains_key(&id) {
            return;
        }
        self.positions.insert(id, self.next_position);
        self.by_position.insert(self.next_position, id);
        self.next_position += 1;
    }

    /// Takes a job out.
    pub(super) fn remove(&mut self, id: &Id) {
        if let Some(place) = self.positions.remove(id) {
            self.by_position.remove(&place);
        }
    }

    /// Whether a job waits.
    pub(super) fn contains(&self, id: &Id) -> bool {
        self.positions.contains_key(id)
    }

    /// How many wait.
    pub(super) fn len(&self) -> usize {
        self.by_position.len()
    }

    /// Whether none does.
    pub(super) fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// The jobs, the one that waits longest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Id> {
        self.by_position.values()
    }
}
