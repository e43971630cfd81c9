//! Takes over what an earlier scheduler left in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;
use tracing::warn;

use super::Core;
use crate::instance;
use crate::job::Body;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Placement;
use crate::job::Progress;
use crate::job::Spec;
use crate::job::State;

/// All that the store holds of jobs.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Bodies of jobs that have not ended.
    pub bodies: BTreeMap<Id, Body>,
    /// Progress of all jobs.
    pub progress: BTreeMap<Id, Progress>,
    /// The store's clock, in milliseconds.
    pub clock_ms: u64,
}

impl Core {
    /// Takes over what the store holds. The configuration and the instance list come first.
    ///
    /// `unix` is the time of day at `now`, for occurrences that are due at a time of day.
    pub fn restore(&mut self, now: Time, unix: Duration, stored: Stored) {
        let mut restored = 0;
        let Stored { mut bodies, progress, clock_ms } = stored;
        for (id, progress) in progress {
            let body = bodies.remove(&id);
            let job = match body {
                Some(body) if !progress.state.is_ended() => {
                    restored += 1;
                    self.restore_job(now, unix, clock_ms, id, body, &progress)
                }
                _ => self.ended_job(now, id, &progress),
            };
            if job.state == State::Active {
                self.active.insert(id);
                self.schedulable.insert(id);
            }
            self.jobs.insert(id, job);
            self.book_inherited(id);
            self.advance_job(now, id);
            self.finish_if_done(now, id);
        }
        for id in bodies.keys() {
            warn!(event = "orphan", job = %id, reason = "body without progress");
        }
        self.update_demand(now);
        info!(event = "restore", jobs = self.jobs.len(), active = restored);
    }

    fn ended_job(&self, now: Time, id: Id, progress: &Progress) -> Job {
        let mut job = Job::new(id, &progress.queue, "", Spec::default(), now);
        // A job whose body is gone has ended, whatever its progress says.
        job.state = if progress.state.is_ended() { progress.state } else { State::Completed };
        job.ended = Some(now);
        job
    }

    fn restore_job(
        &mut self,
        now: Time,
        unix: Duration,
        clock_ms: u64,
        id: Id,
        body: Body,
        progress: &Progress,
    ) -> Job {
        let age = Duration::from_millis(clock_ms.saturating_sub(body.submitted_ms));
        let mut job = Job::new(id, &body.queue, &body.service, body.spec, now - age);
        job.state = State::Active;
        job.body_stored = true;
        job.submitted_ms = body.submitted_ms;
        job.maybe_unrecorded = self.unrecorded_starts;
        job.first_start = if job.spec.repeats > 0 {
            unix_to_local(now, unix, Duration::from_millis(job.spec.first_ms))
        } else {
            job.submitted
        };
        if let Some(queue) = self.config.queues.get(&job.queue) {
            job.service.clone_from(&queue.service);
        }
        self.set_deadline(&mut job);
        for placement in &progress.tasks {
            self.restore_task(now, &mut job, placement);
        }
        job
    }

    fn restore_task(&mut self, now: Time, job: &mut Job, placement: &Placement) {
        if placement.index as usize >= job.tasks.len() {
            return;
        }
        job.begun = true;
        if placement.done {
            job.finish(placement.index, now);
        }
        let task = &mut job.tasks[placement.index as usize];
        task.run = placement.run;
        task.failures = placement.failures;
        task.checkpoint.clone_from(&placement.checkpoint);
        task.incarnation = placement.incarnation;
        task.since = now;
        task.last_recorded_end = placement.run;
        if placement.done || placement.instance.is_empty() {
            return;
        }
        task.last_recorded_end = placement.run.saturating_sub(1);
        let key = match self.keys.get(&placement.instance) {
            Some(key) => *key,
            None => self.add_unlisted(now, &placement.instance),
        };
        // A new life of the instance runs nothing of the one before.
        if !self.has_restarted(key, placement.incarnation) {
            task.phase = Phase::Inherited(key);
        }
    }

    /// Whether an instance has started anew since it had a given life.
    fn has_restarted(&self, key: instance::Key, born: u64) -> bool {
        let listed = self.instance(key).report.incarnation;
        born > 0 && listed > born
    }

    /// When nothing that an earlier scheduler ordered can run any more, reached or not.
    pub(super) fn inherited_until(&self) -> Time {
        let slow = self.tuning.lease.div_f64(1.0 - self.tuning.clock_drift);
        self.since + self.overlap + slow
    }

    fn book_inherited(&mut self, id: Id) {
        let job = &self.jobs[&id];
        for (index, task) in job.tasks.iter().enumerate() {
            if let Phase::Inherited(key) = task.phase {
                let index = index as u32;
                self.instances[u32::from(key) as usize].book(
                    job.task_key(index),
                    job.step(index),
                    true,
                );
            }
        }
    }
}

/// When a time of day comes, on our clock; at the latest now if it has passed.
pub fn unix_to_local(now: Time, unix: Duration, at: Duration) -> Time {
    if at >= unix { now + (at - unix) } else { now - (unix - at) }
}
