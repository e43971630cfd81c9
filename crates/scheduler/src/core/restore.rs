//! Restores the state that a previous leader left in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;
use tracing::warn;

use super::Core;
use crate::instance;
use crate::job::Begun;
use crate::job::Body;
use crate::job::Id;
use crate::job::Job;
use crate::job::Moved;
use crate::job::Phase;
use crate::job::Placement;
use crate::job::Progress;
use crate::job::Spec;
use crate::job::State;
use crate::job::Suspicion;
use crate::job::part::Digests;

/// All rows of jobs in the store.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Bodies of jobs that have not ended.
    pub bodies: BTreeMap<Id, Body>,
    /// Progress of all jobs.
    pub progress: BTreeMap<Id, Progress>,
    /// Digests of the further rows of their progress.
    pub digests: BTreeMap<Id, Digests>,
    /// The store's clock, in milliseconds.
    pub clock_ms: u64,
}

impl Core {
    /// Restores all jobs. The configuration and the instance list must have been applied before.
    ///
    /// `unix` is the Unix time at `now`, since the start times of repeated jobs are Unix times.
    pub fn restore(&mut self, now: Time, unix: Duration, stored: Stored) {
        let (mut restored, mut begun) = (0, 0);
        let Stored { mut bodies, progress, mut digests, clock_ms } = stored;
        for (id, progress) in progress {
            let body = bodies.remove(&id);
            let mut job = match body {
                Some(body) if !progress.state.is_ended() => {
                    restored += 1;
                    self.restore_job(now, unix, clock_ms, id, body, &progress)
                }
                Some(body) => {
                    // What may still run of it counts for its tenant.
                    let mut job = self.restore_job(now, unix, clock_ms, id, body, &progress);
                    job.state = progress.state;
                    job.ended = Some(now);
                    job
                }
                None => self.ended_job(now, id, &progress),
            };
            job.digests = digests.remove(&id).unwrap_or_default();
            if job.state == State::Active {
                if job.begun.is_known() {
                    begun += 1;
                } else {
                    self.unbegun.insert(&job.queue, id);
                }
                self.active.insert(id);
                self.schedulable.insert(id);
                if job.moved == Moved::Unstored {
                    self.dirty.insert(id);
                }
            }
            self.insert_job(id, job);
            self.book_inherited(id);
            self.advance_job(now, id);
            self.finish_if_done(now, id);
        }
        for id in bodies.keys() {
            warn!(event = "orphan", job = %id, reason = "body without progress");
        }
        self.restored_at = Some(now);
        self.restore_rates();
        self.update_demand(now);
        info!(event = "restore", jobs = self.jobs.len(), active = restored, begun);
    }

    /// A job that has ended, of which only progress is stored.
    fn ended_job(&mut self, now: Time, id: Id, progress: &Progress) -> Job {
        let mut job = Job::new(id, &progress.queue, "", Spec::default(), now);
        // Bodies are deleted when jobs end: without one the job has ended, whatever its progress
        // says.
        job.state = if progress.state.is_ended() { progress.state } else { State::Completed };
        job.ended = Some(now);
        job.tenant = self.tenant(&progress.tenant);
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
        job.accepted_terms = body.terms;
        job.tenant = (!body.tenant.is_empty())
            .then(|| self.tenants.restore(&body.tenant, body.cap, body.submitted_ms));
        if progress.moved {
            job.moved = Moved::Stored;
        }
        // What was placed may have been refused since, or never have been sent.
        job.begun = Begun::restore(progress.has_begun());
        if let Some(queue) = self.config.queues.get(&job.queue) {
            job.follow(queue);
        }
        self.set_deadline(&mut job);
        for placement in &progress.tasks {
            self.restore_task(now, &mut job, placement);
        }
        job
    }

    /// Restores what the store holds of a task.
    fn restore_task(&mut self, now: Time, job: &mut Job, placement: &Placement) {
        if placement.index as usize >= job.tasks.len() {
            return;
        }
        if placement.done {
            job.finish(placement.index, now);
        }
        let task = &mut job.tasks[placement.index as usize];
        task.run = placement.run;
        task.failures = placement.failures;
        task.suspicion =
            Suspicion::restore(placement.crashes, placement.presumed_crashes, placement.suspect);
        task.checkpoint.clone_from(&placement.checkpoint);
        task.incarnation = placement.incarnation;
        task.evicted_run = (placement.evicted > 0).then_some(placement.evicted);
        task.evicted_at = now;
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
        // Even if the list shows another incarnation than the row: a start command reaches the process
        // that is up when it arrives, and the row holds the one that was known when it was written.
        // So only the instance's own list of runs, or the end of its leases, tells that a run is over.
        job.tasks[placement.index as usize].phase = Phase::Inherited(key);
        if self.is_listed_anew(key, placement.incarnation) {
            self.expect_crash(now, key);
        }
    }

    /// Whether the instance list shows a later incarnation of an instance than the given one.
    fn is_listed_anew(&self, key: instance::Key, incarnation: u64) -> bool {
        let listed_incarnation = self.instance(key).report.incarnation;
        incarnation > 0 && listed_incarnation > incarnation
    }

    /// Time by which all leases of the previous leader have expired, on unreachable instances too.
    pub(super) fn inherited_until(&self) -> Time {
        self.since + self.overlap.max(self.inherited_excess) + self.tuning.max_usual_lease()
    }

    /// Books the tasks of a job on the instances to which the previous leader assigned them.
    fn book_inherited(&mut self, id: Id) {
        let job = &self.jobs[&id];
        let inherited = job.tasks.iter().enumerate().filter_map(|(index, task)| match task.phase {
            Phase::Inherited(key) => Some((job.task_key(index as u32), key, task.is_suspect())),
            _ => None,
        });
        for (task, key, is_suspect) in inherited.collect::<Vec<_>>() {
            self.book(task, key, true);
            if is_suspect {
                self.instance_mut(key).trials.insert(task);
            }
        }
    }
}

/// Converts the Unix time `at` to the scheduler's clock, where `unix` is the Unix time at `now`. A
/// time in the past becomes one before `now`.
pub fn unix_to_local(now: Time, unix: Duration, at: Duration) -> Time {
    if at >= unix { now + (at - unix) } else { now - (unix - at) }
}
