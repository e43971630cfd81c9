//! Starts tasks before the store holds their placements.
//!
//! Handles a store outage: jobs that the store already holds run meanwhile, so that neither these
//! jobs nor those that arrive after the outage are late. If this leader fails before it has
//! recorded the starts, the next leader has to wait: before it places a restored task, it must know
//! all instances of the pool, their runs, and the ends of runs there. Once it has seen a run of a task
//! at work it need not wait: a previous leader starts another run only after it has learnt that this
//! one has ended, and from an instance that has seen the higher fencing token it learns nothing.
//!
//! A leader that can't confirm its leadership may have been replaced already, by a leader that
//! renews the leases of all instances that it reaches. So the tasks of an unresponsive instance are
//! not started again without a write, however long ago its lease should have expired.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::End;
use crate::instance::Exit;
use crate::instance::Instance;
use crate::instance::Run;
use crate::job::Id;
use crate::job::Job;
use crate::job::Moved;
use crate::job::Phase;
use crate::job::State;
use crate::machine;

/// Time for which placements need not wait for writes after tasks were last started without a
/// record: a few rounds of the scheduling loop.
const UNRECORDED_WINDOW: Duration = Duration::from_millis(300);

/// What a leader that steps down leaves uncertain to the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Whether it, or a leader before it, may have started tasks that the store does not record.
    pub unrecorded: bool,
    /// For how long a leader before it may still grant leases.
    pub overlap: Duration,
    /// How much longer than [`crate::Tuning::lease`] from now on leases may last that it, or a leader before
    /// it, has granted.
    pub lease_excess: Duration,
}

impl Core {
    /// What this leader would leave uncertain if it stepped down at `now`, after the pending write.
    pub fn handover(&self, now: Time) -> Handover {
        Handover {
            unrecorded: self.has_unrecorded() || self.has_unknown_starts(now),
            overlap: (self.since + self.overlap).since(now),
            lease_excess: self.lease_excess(now),
        }
    }

    /// Takes on what the previous leader, which has stepped down, left uncertain. Must be called
    /// before [`Core::restore`].
    pub fn inherit(&mut self, handover: Handover) {
        self.unrecorded_starts |= handover.unrecorded;
        self.overlap = self.overlap.max(handover.overlap);
        self.inherited_excess = handover.lease_excess;
    }

    /// How much longer than usual leases from now on some may last on instances with tasks.
    ///
    /// Handles an instance that restarted while a call with a lease was under way: the lease was reckoned by
    /// the clock of the process before, and may be as long as instances take.
    fn lease_excess(&self, now: Time) -> Duration {
        let inherited = (self.since + self.inherited_excess).since(now);
        inherited.max(self.longest_lease.since(now + self.tuning.max_usual_lease()))
    }

    /// Whether a previous leader may have started tasks of any job that are still unknown. Until the jobs are
    /// restored, the doubt is handed on as it was inherited.
    fn has_unknown_starts(&self, now: Time) -> bool {
        if !self.unrecorded_starts || now >= self.inherited_until() {
            return false;
        }
        if !self.is_restored() {
            return true;
        }
        let mut known = BTreeSet::new();
        self.active.iter().map(|id| &self.jobs[id]).filter(|job| job.maybe_unrecorded).any(|job| {
            // What is known of a job's starts depends on its services alone.
            known.insert((&job.service, job.moved)) && !self.knows_all_starts(now, job)
        })
    }

    /// Sets that the previous leader may have started tasks that the store does not record. Must be
    /// called before [`Core::restore`].
    pub fn expect_unrecorded_starts(&mut self) {
        self.unrecorded_starts = true;
    }

    /// Releases the start commands of placed tasks although the store may not hold their
    /// placements. Leaves out tasks whose last run is only presumed to have ended, those under which an instance
    /// has crashed, and those of jobs of which the store does not hold that their queue was moved. Returns the
    /// number of tasks.
    pub fn release_unrecorded(&mut self, now: Time) -> usize {
        self.unrecorded_at = Some(now);
        let mut placed = Vec::new();
        for id in &self.active {
            let job = &self.jobs[id];
            if job.moved == Moved::Unstored {
                continue;
            }
            for (index, task) in job.tasks.iter().enumerate() {
                let placement = match task.phase {
                    Phase::Planned(key) | Phase::Recording(key)
                        if !task.end_presumed && task.suspicion.crashes == 0 =>
                    {
                        Some(key)
                    }
                    _ => None,
                };
                if let Some(key) = placement {
                    placed.push((job.task_key(index as u32), key));
                }
            }
        }
        self.release_starts(now, &placed);
        for (key, _) in &placed {
            // The pending write holds an outdated state of the job.
            self.dirty.insert(key.job);
        }
        if !placed.is_empty() {
            info!(event = "unlogged", tasks = placed.len(), dirty = self.dirty.len());
        }
        placed.len()
    }

    /// Whether tasks start without a record at `now`, so that placements need not wait for writes.
    pub(super) fn starts_unrecorded(&self, now: Time) -> bool {
        self.unrecorded_at.is_some_and(|at| now.since(at) < UNRECORDED_WINDOW)
    }

    /// Whether the store may lack starts whose commands have gone out.
    pub fn has_unrecorded(&self) -> bool {
        !self.dirty.is_empty() || self.dirty.has_suspended()
    }

    /// Whether all starts of a job by the previous leader are known, recorded or not.
    pub(super) fn knows_all_starts(&self, now: Time, job: &Job) -> bool {
        if !job.maybe_unrecorded || now >= self.inherited_until() {
            return true;
        }
        let Some(requested_at) = self.operations.list_requested_at else { return false };
        if requested_at < self.since {
            return false;
        }
        // If the queue's service has changed, it may have changed more than once, and back.
        let any_service = job.moved != Moved::Never;
        let may_run_tasks = |machine: &&machine::Machine| {
            (any_service || machine.pool == job.service) && !machine.instance.is_empty()
        };
        self.machines.values().filter(may_run_tasks).all(|machine| {
            let known = self.keys.get(&machine.instance).map(|&key| self.instance(key));
            known.is_some_and(|instance| {
                // One whose machine this leader has moved or maintained accepts no more starts of the
                // previous leader: it has seen the higher fencing token, or its process has ended. What
                // was under way to it all along may reach any incarnation, however long tasks wait.
                instance.runs_known || now >= instance.leases_expire_at(&self.tuning)
            })
        })
    }

    /// Whether an instance may run unrecorded starts of the previous leader.
    pub(super) fn may_run_unrecorded(&self, now: Time, instance: &Instance) -> bool {
        self.unrecorded_starts
            && instance.listed
            && !instance.synced
            && now < self.inherited_until()
    }

    /// Adopts a run if the previous leader started it without recording it; returns whether the run
    /// was adopted.
    pub(super) fn adopt_run(
        &mut self,
        now: Time,
        key: instance::Key,
        index: u32,
        run: &Run,
    ) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else { return false };
        let task = &job.tasks[index as usize];
        let adoptable = matches!(task.phase, Phase::Waiting | Phase::Ready | Phase::Inherited(_));
        if !job.maybe_unrecorded || job.state != State::Active || !adoptable || run.run <= task.run
        {
            return false;
        }
        let task_key = job.task_key(index);
        let inherited_by = match task.phase {
            Phase::Inherited(previous) => Some(previous),
            _ => None,
        };
        info!(
            event = "adopt",
            task = %run.task,
            run = run.run,
            known = task.run,
            runner = self.instance(key).report.id,
        );
        if let Some(previous) = inherited_by {
            self.book(task_key, previous, false);
        }
        let incarnation = self.instance(key).incarnation;
        self.book(task_key, key, true);
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return false };
        let task = &mut job.tasks[index as usize];
        task.run = run.run;
        task.incarnation = incarnation;
        task.phase = Phase::Inherited(key);
        task.since = now;
        task.stop_sent_at = None;
        self.dirty.insert(run.task.job);
        true
    }

    /// Applies the end of a run that the previous leader started without recording it.
    pub(super) fn apply_unrecorded_end(&mut self, now: Time, index: u32, end: &End) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let long_running = job.step(index).long_running;
        let max_attempts = job.terms(&self.config).max_attempts;
        let task = &mut job.tasks[index as usize];
        if !job.maybe_unrecorded || end.run <= task.last_recorded_end {
            return;
        }
        let newer = end.run > task.run;
        let unassigned = matches!(task.phase, Phase::Waiting | Phase::Ready);
        if newer && unassigned {
            task.run = end.run;
            if !end.checkpoint.is_empty() {
                task.checkpoint.clone_from(&end.checkpoint);
            }
        }
        if end.exit == Exit::Failed {
            task.failures += 1;
            let failed = task.failures;
            let active = job.state == State::Active;
            self.dirty.insert(end.task.job);
            if !long_running && failed >= max_attempts && active {
                info!(event = "job", job = %end.task.job, state = "failed", task = %end.task, failed);
                self.end_job(now, end.task.job, State::Failed);
            }
        }
    }

    /// Clears the doubt about a job's starts once all of the previous leader are known. `known` keeps the
    /// answers within a round, by service and whether it has changed: each takes a look at all machines.
    pub(super) fn settle_starts(
        &mut self,
        now: Time,
        id: Id,
        known: &mut BTreeMap<(String, Moved), bool>,
    ) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.maybe_unrecorded) else { return };
        let services = (job.service.clone(), job.moved);
        let knows = *known.entry(services).or_insert_with(|| self.knows_all_starts(now, job));
        if knows && let Some(job) = self.jobs.get_mut(&id) {
            job.maybe_unrecorded = false;
        }
    }
}
