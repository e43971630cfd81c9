//! The queue of jobs with changes that the store lacks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::job::Id;

/// A queued job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) id: Id,
    position: u64,
}

/// Jobs with changes that the store lacks, in the order in which they were first changed.
///
/// Handles more changes than writes can carry: the job that has waited longest is written first.
#[derive(Clone, Debug, Default)]
pub(super) struct Dirty {
    by_position: BTreeMap<u64, Id>,
    positions: BTreeMap<Id, u64>,
    next_position: u64,
    /// Changed jobs that are not queued: the store refuses their rows.
    suspended: BTreeSet<Id>,
}

impl Dirty {
    /// Appends a job; one that is queued already keeps its position.
    pub(super) fn insert(&mut self, id: Id) {
        if self.contains(&id) {
            return;
        }
        self.positions.insert(id, self.next_position);
        self.by_position.insert(self.next_position, id);
        self.next_position += 1;
    }

    /// Puts an entry back at its position, since the write that held it has failed.
    pub(super) fn put_back(&mut self, entry: Entry) {
        self.remove(&entry.id);
        self.positions.insert(entry.id, entry.position);
        self.by_position.insert(entry.position, entry.id);
    }

    /// The entry of a job, if it is queued.
    fn entry(&self, id: Id) -> Option<Entry> {
        self.positions.get(&id).map(|&position| Entry { id, position })
    }

    /// Appends a job and returns its entry; None if it is suspended.
    pub(super) fn append(&mut self, id: Id) -> Option<Entry> {
        self.insert(id);
        self.entry(id)
    }

    /// Position of the job that has waited longest; [`Self::next_position`] if none is queued.
    pub(super) fn first_position(&self) -> u64 {
        self.by_position.first_key_value().map_or(self.next_position, |(position, _)| *position)
    }

    /// Position of the next job to be queued.
    pub(super) const fn next_position(&self) -> u64 {
        self.next_position
    }

    /// Removes a job from the queue.
    pub(super) fn remove(&mut self, id: &Id) {
        if let Some(position) = self.positions.remove(id) {
            self.by_position.remove(&position);
        }
    }

    /// Whether a job has changes that the store lacks.
    pub(super) fn contains(&self, id: &Id) -> bool {
        self.positions.contains_key(id) || self.suspended.contains(id)
    }

    /// Takes a job out of the queue until it is resumed, whatever changes.
    pub(super) fn suspend(&mut self, id: Id) {
        self.remove(&id);
        self.suspended.insert(id);
    }

    /// Appends a suspended job.
    pub(super) fn resume(&mut self, id: Id) {
        if self.suspended.remove(&id) {
            self.insert(id);
        }
    }

    /// Whether any job is suspended.
    pub(super) fn has_suspended(&self) -> bool {
        !self.suspended.is_empty()
    }

    /// Number of queued jobs.
    pub(super) fn len(&self) -> usize {
        self.by_position.len()
    }

    /// Whether no job is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.by_position.is_empty()
    }

    /// The queued jobs, the one that has waited longest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = Entry> {
        self.by_position.iter().map(|(&position, &id)| Entry { id, position })
    }
}
