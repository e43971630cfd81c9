//! Accepted jobs that have not begun, by queue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::job::Evidence;
use crate::job::Id;

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
    }
}
