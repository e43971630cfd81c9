//! What callers ask: submit, cancel, and whether there is room for more.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::job::Id;
use crate::job::Invalid;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Spec;
use crate::job::State;

/// Shortest time after which a caller that was turned away is asked to come back.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest such time: beyond it no caller would still be served usefully.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// What becomes of a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is accepted once the store holds it.
    Store,
    /// It was accepted before.
    Known,
    /// It was submitted before and is about to be stored.
    Storing,
    /// It is turned away, and never runs.
    Rejected(Rejection),
}

/// Why a job is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// There is more work than the pool can do in time.
    Busy {
        /// When there should be room.
        retry: Duration,
    },
    /// The job can't be taken at all.
    Invalid(Invalid),
    /// The queue is not in force here.
    NoQueue,
}

/// What becomes of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// It is cancelled once the store says so.
    Store,
    /// It has ended, and the store says so.
    Ended,
    /// There is no such job.
    Unknown,
}

impl Core {
    /// Takes in a job, or says why not. `first` is when the first occurrence of a repeated job is
    /// due, `store_ms` the store's clock.
    pub fn submit(
        &mut self,
        now: Time,
        store_ms: u64,
        id: Id,
        queue: &str,
        spec: Spec,
        first: Time,
    ) -> Verdict {
        if let Some(job) = self.jobs.get(&id) {
            return if job.state == State::Storing { Verdict::Storing } else { Verdict::Known };
        }
        if let Err(error) = spec.validate() {
            info!(event = "refuse", job = %id, queue, reason = %error);
            return Verdict::Rejected(Rejection::Invalid(error));
        }
        let Some(configured) = self.config.queues.get(queue) else {
            return Verdict::Rejected(Rejection::NoQueue);
        };
        let service = configured.service.clone();
        let mut job = Job::new(id, queue, &service, spec, now);
        job.submitted_ms = store_ms;
        job.first_start = if job.spec.repeats > 0 { first } else { now };
        self.set_deadline(&mut job);
        if let Some(retry) = self.overload_delay(now, &job) {
            info!(event = "refuse", job = %id, queue, reason = "busy", retry_ms = retry.as_millis());
            return Verdict::Rejected(Rejection::Busy { retry });
        }
        self.record_arrival(now, &job);
        info!(
            event = "submit",
            job = %id,
            queue,
            service,
            tasks = job.tasks.len(),
            due_ms = job.deadline.since(now).as_millis(),
            config = self.config.version,
        );
        self.jobs.insert(id, job);
        self.dirty.insert(id);
        Verdict::Store
    }

    /// Sets when a job should have ended.
    pub(super) fn set_deadline(&self, job: &mut Job) {
        let Some(queue) = self.config.queues.get(&job.queue) else { return };
        let chain = self.critical_path(job);
        let allowed = chain.mul_f64(queue.stretch.max(1.0));
        job.deadline = job.submitted + allowed + queue.target_latency;
    }

    /// Time that the longest chain of a job's steps is expected to take.
    fn critical_path(&self, job: &Job) -> Duration {
        (0..job.step_count())
            .map(|step| self.critical_path_from(job, step))
            .max()
            .unwrap_or_default()
    }

    /// Time from the start of a step to the end of what depends on it.
    pub(super) fn critical_path_from(&self, job: &Job, step: usize) -> Duration {
        job.critical_paths[step]
            .iter()
            .map(|&guess_ms| self.expected_duration(&job.queue, guess_ms))
            .sum()
    }

    /// When a caller should come back, if the pool owes more work than it can do in time.
    ///
    /// Answers a pool that is far over its room: work that is late still runs on what is left over,
    /// so that only a backlog beyond [`crate::Tuning::backlog`] turns callers away.
    fn overload_delay(&self, now: Time, job: &Job) -> Option<Duration> {
        if job.spec.is_long_running() || job.spec.repeats > 0 {
            return None;
        }
        let wait = self.backlog_time(now, &job.service);
        if wait <= self.tuning.max_backlog {
            return None;
        }
        Some((wait - self.tuning.max_backlog).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
    }

    /// Forgets a job that no write holds yet; whether it was one.
    ///
    /// Answers a store that does not answer: what it can't have seen can still be refused.
    pub fn withdraw(&mut self, id: Id) -> bool {
        let unsent = self.jobs.get(&id).is_some_and(|job| job.state == State::Storing)
            && !self.writing.contains(&id);
        if unsent {
            self.jobs.remove(&id);
            self.dirty.remove(&id);
        }
        unsent
    }

    /// Takes a job back.
    pub fn cancel(&mut self, now: Time, id: Id) -> Cancellation {
        let Some(job) = self.jobs.get_mut(&id) else { return Cancellation::Unknown };
        if job.state.is_ended() {
            return if self.dirty.contains(&id) || self.writing.contains(&id) {
                Cancellation::Store
            } else {
                Cancellation::Ended
            };
        }
        info!(event = "cancel", job = %id, state = %job.state);
        self.end_job(now, id, State::Cancelled);
        Cancellation::Store
    }

    /// Ends a job: what was not sent is dropped, what is out is stopped.
    pub(super) fn end_job(&mut self, now: Time, id: Id, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = state;
        job.ended = Some(now);
        let indexes = 0..job.tasks.len() as u32;
        let keys: Vec<_> = indexes.map(|index| job.task_key(index)).collect();
        for key in keys {
            let phase = self.jobs[&id].tasks[key.index as usize].phase;
            if !phase.is_sent() && phase != Phase::Done {
                self.unassign(now, key);
            }
        }
        self.active.remove(&id);
        self.schedulable.remove(&id);
        self.dirty.insert(id);
        self.stop_ended(now, id);
    }

    /// State of a job that the store holds, as its caller is to see it.
    pub fn state(&self, id: Id) -> Option<State> {
        let job = self.jobs.get(&id)?;
        // An end counts once the store holds it.
        let unsaved = self.dirty.contains(&id) || self.writing.contains(&id);
        Some(if job.state.is_ended() && unsaved { State::Active } else { job.state })
    }
}
