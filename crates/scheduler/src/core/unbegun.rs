//! Which accepted jobs have begun, and the others by queue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::job::Evidence;
use crate::job::Id;
use crate::job::State;

/// Accepted jobs that have neither begun nor ended, by queue.
///
/// Handles callers that ask for the length of a queue many times a second: an answer takes no longer
/// for a long backlog.
#[derive(Clone, Debug, Default)]
pub(super) struct Unbegun {
    by_queue: BTreeMap<String, BTreeSet<Id>>,
}

impl Unbegun {
    /// Adds a job of a queue.
    pub(super) fn insert(&mut self, queue: &str, id: Id) {
        match self.by_queue.get_mut(queue) {
            Some(ids) => {
                ids.insert(id);
            }
            None => {
                self.by_queue.insert(queue.to_owned(), BTreeSet::from([id]));
            }
        }
    }

    /// Removes a job of a queue, if it is there.
    pub(super) fn remove(&mut self, queue: &str, id: Id) {
        let Some(ids) = self.by_queue.get_mut(queue) else { return };
        ids.remove(&id);
        if ids.is_empty() {
            self.by_queue.remove(queue);
        }
    }

    /// Number of jobs of a queue.
    pub(super) fn count(&self, queue: &str) -> usize {
        self.by_queue.get(queue).map_or(0, BTreeSet::len)
    }
}

impl Core {
    /// Records evidence that a job has begun.
    pub(super) fn record_begun(&mut self, now: Time, id: Id, evidence: Evidence) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.begun.record(evidence) {
            return;
        }
        let waited_ms = now.since(job.submitted).as_millis();
        info!(event = "begin", job = %id, queue = job.queue, evidence = %evidence, waited_ms);
        self.unbegun.remove(&job.queue, id);
        if job.state == State::Active {
            self.newly_begun.insert(id);
        }
    }

    /// Whether the store lacks that some job has begun.
    pub fn has_newly_begun(&self) -> bool {
        !self.newly_begun.is_empty()
    }

    /// Takes a job that has ended out of its queue, and from those that have newly begun.
    pub(super) fn untrack_begun(&mut self, id: Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.unbegun.remove(&job.queue, id);
        self.newly_begun.remove(&id);
    }

    /// Records that the store holds that a job has begun.
    pub(super) fn mark_begun_stored(&mut self, id: Id) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.begun.mark_stored();
            self.newly_begun.remove(&id);
        }
    }
}
