//! Keeps changes that the store refuses for good from holding up all others.
//!
//! A write that is refused, though the store is there, is refused again each time. So it is halved until the job
//! is found whose rows the store does not take; that job is set aside, and tried by itself now and then.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::error;

use super::Core;
use super::dirty;
use crate::job::Id;
use crate::job::State;

/// Time after which a job that was set aside is tried again; doubles each time.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Longest such time.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// A job that was set aside.
#[derive(Clone, Copy, Debug)]
struct Aside {
    retry_at: Time,
    delay: Duration,
}

/// What the next writes leave out since the store has refused it.
#[derive(Clone, Debug, Default)]
pub(super) struct Isolation {
    /// Maximum number of jobs in the next write, which holds nothing else then; None without such a limit.
    max_jobs: Option<usize>,
    /// Whether the pending write may hold other rows than those of jobs.
    mixed: bool,
    /// When rows other than those of jobs are written again, after they were refused by themselves.
    others_retry_at: Time,
    /// Jobs that were set aside.
    aside: BTreeMap<Id, Aside>,
    /// A job that is tried by itself.
    probe: Option<Id>,
}

impl Isolation {
    /// Whether the next write holds fewer jobs than it could.
    pub(super) const fn is_narrow(&self) -> bool {
        self.max_jobs.is_some() || self.probe.is_some()
    }

    /// Applies that a write has succeeded.
    pub(super) fn widen(&mut self) {
        self.max_jobs = self.max_jobs.map(|jobs| jobs * 2).filter(|&jobs| jobs < 64);
        if let Some(id) = self.probe.take() {
            self.aside.remove(&id);
        }
    }
}

impl Core {
    /// Whether the next write may hold rows other than those of jobs. Must be asked before each write.
    pub fn writes_others(&mut self, now: Time) -> bool {
        let isolation = &mut self.isolation;
        isolation.mixed = isolation.max_jobs.is_none()
            && isolation.probe.is_none()
            && now >= isolation.others_retry_at;
        isolation.mixed
    }

    /// Jobs for the next write, those that have waited longest first.
    pub(super) fn next_in_write(&self) -> Vec<dirty::Entry> {
        let probe = self.isolation.probe;
        let max = self.isolation.max_jobs.unwrap_or(usize::MAX).min(self.write_rows);
        let waiting = self.dirty.iter().filter(|entry| probe.is_none_or(|id| entry.id == id));
        waiting.take(max).collect()
    }

    /// Reverts the pending write, which the store has refused for good. The next one is smaller; a job that was
    /// refused by itself is set aside, or rejected if it was not accepted yet.
    pub fn reject_write(&mut self, now: Time) {
        let jobs: Vec<Id> = self.writing.iter().map(|written| written.id()).collect();
        self.abort_write();
        let isolation = &mut self.isolation;
        match (jobs.as_slice(), isolation.mixed) {
            ([], _) => isolation.others_retry_at = now + MIN_RETRY_DELAY,
            (&[id], false) => self.set_aside(now, id),
            (jobs, _) => isolation.max_jobs = Some((jobs.len() / 2).max(1)),
        }
    }

    fn set_aside(&mut self, now: Time, id: Id) {
        self.isolation.probe = None;
        let Some(job) = self.jobs.get(&id) else { return };
        let state = job.state;
        error!(event = "unstorable", job = %id, state = %state, tasks = job.tasks.len());
        if state == State::Storing {
            self.remove_job(id);
            self.dirty.remove(&id);
            return;
        }
        let last = self.isolation.aside.get(&id);
        let delay = last.map_or(MIN_RETRY_DELAY, |last| (last.delay * 2).min(MAX_RETRY_DELAY));
        self.isolation.aside.insert(id, Aside { retry_at: now + delay, delay });
        self.dirty.suspend(id);
    }

    /// Has the job that was set aside first, of those that are due, tried again.
    pub(super) fn retry_set_aside(&mut self, now: Time) {
        let mut due = self.isolation.aside.iter().filter(|(_, aside)| now >= aside.retry_at);
        if let (None, Some((&id, _))) = (self.isolation.probe, due.next()) {
            self.isolation.probe = Some(id);
            self.dirty.resume(id);
        }
    }

    /// Has a job tried again whose rows have become shorter, if it was set aside.
    pub(super) fn retry_at_once(&mut self, now: Time, id: Id) {
        if let Some(aside) = self.isolation.aside.get_mut(&id) {
            aside.retry_at = now;
        }
    }
}
