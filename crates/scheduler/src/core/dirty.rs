//! Jobs that differ from what the store holds, in the order in which they came to.

use std::collections::BTreeMap;

use crate::job::Id;

/// Jobs that differ from what the store holds.
///
/// Answers more changes than writes can carry: whichever waits longest is written first.
#[derive(Clone, Debug, Default)]
pub(super) struct Dirty {
    order: BTreeMap<u64, Id>,
    places: BTreeMap<Id, u64>,
    next: u64,
}

impl Dirty {
    /// Adds a job at the end; one that waits already keeps its place.
    pub(super) fn insert(&mut self, id: Id) {
        if self.places.contains_key(&id) {
            return;
        }
        self.places.insert(id, self.next);
        self.order.insert(self.next, id);
        self.next += 1;
    }

    /// Takes a job out.
    pub(super) fn remove(&mut self, id: &Id) {
        if let Some(place) = self.places.remove(id) {
            self.order.remove(&place);
        }
    }

    /// Whether a job waits.
    pub(super) fn contains(&self, id: &Id) -> bool {
        self.places.contains_key(id)
    }

    /// How many wait.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none does.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The jobs, the one that waits longest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Id> {
        self.order.values()
    }
}
