//! Decides whether a failed run counts against its instance, and how much of a pool may be closed
//! for failed runs.

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::Closure;
use crate::instance::Failure;
use crate::job::Job;
use crate::job::Phase;
use crate::job::TaskKey;

/// Number of instances against which the failures of one job count in full. A job that also fails on
/// a third one may be at fault itself.
const MAX_BLAMED: usize = 2;

/// Maximum share of a pool's CPU that may be suspended or on probation.
const MAX_CLOSED_SHARE: f64 = 0.5;

impl Core {
    /// Handles a failed or hung run on an instance, and suspends the instance after failures of
    /// several jobs in a row.
    ///
    /// Handles instances that fail or hang all their runs: an instance on which runs fail fast
    /// always has free capacity, and would attract further tasks. Also handles jobs that fail
    /// wherever they run, and must not get many instances suspended.
    pub(super) fn blame(&mut self, now: Time, key: instance::Key, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.failed_on.insert(key, now);
        let state = &job.tasks[task.index as usize];
        // Long-running tasks may fail at any time on sound instances, once they work.
        let worked = job.step(task.index).long_running && state.percent == 100;
        if worked {
            return;
        }
        job.failed_at = Some(now);
        let began = state.since;
        let failure = if job.blamed.contains(&key) || job.blamed.len() < MAX_BLAMED {
            job.blamed.insert(key);
            Failure::Job(task.job)
        } else {
            Failure::Suspect(task.job)
        };
        self.record_failure(now, key, failure, began);
    }

    /// Counts a failure of what began at `began` against an instance.
    pub(super) fn record_failure(
        &mut self,
        now: Time,
        key: instance::Key,
        failure: Failure,
        began: Time,
    ) {
        let tuning = self.tuning;
        let instance = self.instance_mut(key);
        if let Some(suspension) = instance.trust.record_failure(now, failure, began, &tuning) {
            info!(
                event = "suspend",
                runner = instance.report.id,
                strikes = instance.trust.failures(),
                term_ms = suspension.as_millis(),
                tasks = instance.tasks.len(),
            );
        }
    }

    /// Counts a success for an instance, which ends its suspension or probation.
    pub(super) fn record_success(&mut self, now: Time, key: instance::Key) {
        let instance = self.instance_mut(key);
        if instance.trust.record_success(now) {
            info!(event = "trust", runner = instance.report.id);
        }
    }

    /// Readmits suspended instances of pools of which too much is suspended or on probation, those
    /// first whose suspensions end first.
    ///
    /// Handles work that fails on most of a pool, whether the work or the instances are to blame:
    /// accepted jobs must not stand still beside free instances.
    pub(super) fn readmit_suspended(&mut self, now: Time) {
        for pool in self.pools.values() {
            let mut total = 0.0;
            let mut closed = Vec::new();
            for &key in pool {
                let instance = &mut self.instances[u32::from(key) as usize];
                instance.trust.readmitted = false;
                let closure = instance.closure(now);
                let distrusted = matches!(closure, Some(Closure::Suspended | Closure::Probation));
                if distrusted || closure.is_none() {
                    total += instance.report.capacity.cpu as f64;
                }
                if distrusted {
                    closed.push((instance.trust.suspended_until(), key));
                }
            }
            closed.sort_unstable();
            let cpu = |key: instance::Key| {
                self.instances[u32::from(key) as usize].report.capacity.cpu as f64
            };
            let mut closed_cpu: f64 = closed.iter().map(|&(_, key)| cpu(key)).sum();
            for (_, key) in closed {
                if closed_cpu <= total * MAX_CLOSED_SHARE {
                    break;
                }
                let instance = &mut self.instances[u32::from(key) as usize];
                closed_cpu -= instance.report.capacity.cpu as f64;
                instance.trust.readmitted = true;
            }
        }
    }

    /// Whether a ready task may be tried on an instance that is suspended or on probation.
    ///
    /// A job tries such instances with one task that ends, or one gang, at a time, and not soon after
    /// a failure: so a failure of most of a pool does not use up its attempts.
    pub(super) fn may_try_suspended(&self, now: Time, job: &Job, index: u32) -> bool {
        let (step, task) = (job.step(index), &job.tasks[index as usize]);
        let delay = self.tuning.readmission_delay;
        if step.long_running {
            return task.failures == 0 || now.since(task.since) >= delay;
        }
        if job.failed_at.is_some_and(|at| now.since(at) < delay) {
            return false;
        }
        let is_trial = |phase: Phase| {
            let instance = phase.instance().map(|key| self.instance(key));
            instance.is_some_and(|it| it.trust.is_suspended(now) || it.trust.is_on_probation(now))
        };
        step.gang || !job.tasks.iter().any(|task| is_trial(task.phase))
    }
}
