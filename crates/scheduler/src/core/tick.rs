//! Timer-driven work: due occurrences, expired leases, stalled runs, and retention.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::availability::Cause;
use super::write::Deletion;
use crate::command::Action;
use crate::command::Command;
use crate::instance;
use crate::job::Id;
use crate::job::Phase;
use crate::job::State;
use crate::job::TaskKey;

/// Delay before a stop command is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Interval at which jobs past their retention are looked for.
const DELETE_INTERVAL: Duration = Duration::from_secs(1);

impl Core {
    /// Handles the passing of time: starts due occurrences, expires leases, stops stalled runs and
    /// deletes old jobs.
    pub fn tick(&mut self, now: Time) {
        self.start_limit.adjust(now);
        self.start_occurrences(now);
        self.attribute_ends(now);
        self.lapse_verdicts(now);
        let busy = self.instances().filter(|(_, instance)| !instance.tasks.is_empty());
        let keys: Vec<instance::Key> = busy.map(|(key, _)| key).collect();
        self.busy = keys.len();
        let leases = keys.iter().filter_map(|&key| self.instance(key).granted_until(&self.tuning));
        self.longest_lease = leases.max().unwrap_or_default();
        for key in keys {
            self.expire_leases(now, key);
            self.check_runs(now, key);
        }
        self.delete_old_jobs(now);
        self.retry_set_aside(now);
        self.update_holds(now);
        self.follow_long_runs(now);
        self.update_demand(now);
        self.log_waiting(now);
        self.log_rounds(now);
        self.log_quotas(now);
        self.log_standing(now);
        self.log_rates(now);
    }

    /// Makes the tasks of due occurrences ready.
    fn start_occurrences(&mut self, now: Time) {
        while let Some(&(due, id)) = self.occurrences.first() {
            if due > now {
                return;
            }
            self.occurrences.pop_first();
            self.advance_job(now, id);
        }
    }

    /// Unassigns the tasks on an instance once its leases have certainly expired, whether it is known
    /// to be unresponsive or not.
    fn expire_leases(&mut self, now: Time, key: instance::Key) {
        let instance = self.instance(key);
        if now < instance.leases_expire_at(&self.tuning) {
            return;
        }
        let unreachable = instance.unresponsive_since.is_some() || !instance.synced;
        // The lease of a start command is granted when the command is sent.
        let held_lease = |phase: Phase| match phase {
            Phase::Starting(_) => unreachable,
            Phase::Unknown(_) | Phase::Inherited(_) | Phase::Running(_) => true,
            _ => false,
        };
        let phase = |task: &TaskKey| self.jobs[&task.job].tasks[task.index as usize].phase;
        let expired = !instance.superseded.is_empty()
            || instance.tasks.iter().any(|task| unreachable || held_lease(phase(task)));
        if !expired {
            return;
        }
        let silent_ms = now.since(instance.answered_at).as_millis();
        let tasks = instance.tasks.len();
        info!(event = "lapse", runner = instance.report.id, silent_ms, tasks);
        for &task in &instance.tasks {
            self.log_disruption(now, Cause::Lapse, task);
        }
        let instance = self.instance_mut(key);
        instance.synced = false;
        self.remember_lapsed(now, key);
        self.presume_ends(key);
        self.unassign_all(now, key, held_lease);
    }

    /// Marks the runs on an instance as ended without the instance having said so. Until a write has
    /// succeeded, their tasks must not start again: another leader may know more.
    pub(super) fn presume_ends(&mut self, key: instance::Key) {
        let tasks = &self.instances[u32::from(key) as usize].tasks;
        for task in tasks {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.tasks[task.index as usize].end_presumed = true;
            }
        }
    }

    /// Stops runs of ended jobs, and stalled runs, until they have ended.
    fn check_runs(&mut self, now: Time, key: instance::Key) {
        let noteworthy = |task: &&TaskKey| {
            let job = &self.jobs[&task.job];
            job.state.is_ended() || job.tasks[task.index as usize].suspicion.crashes > 0
        };
        let tasks = self.instance(key).tasks.iter().filter(noteworthy);
        for task in tasks.copied().collect::<Vec<_>>() {
            self.refute_suspicion(key, task);
            // The next heartbeat stops a superseded run as an unexpected one.
            let superseded = self.instance(key).superseded.contains(&task);
            if !superseded && self.jobs[&task.job].state.is_ended() {
                self.stop(now, task);
            }
        }
        self.stop_stalled(now, key, false);
    }

    /// Stops stalled runs. `fresh` says whether a heartbeat has just shown the runs.
    pub(super) fn stop_stalled(&mut self, now: Time, key: instance::Key, fresh: bool) {
        let instance = self.instance(key);
        let current = instance.tasks.difference(&instance.superseded);
        let stalled = current.filter(|&&task| {
            self.is_stalled(key, task)
                && !self.jobs[&task.job].state.is_ended()
                && self.may_stop_stalled(task, fresh)
        });
        for task in stalled.copied().collect::<Vec<_>>() {
            let job = &self.jobs[&task.job];
            // A stop command may have been lost.
            if job.tasks[task.index as usize].stop_sent_at.is_none() {
                let name = job.task_name(task.index);
                info!(event = "hang", task = %name, runner = self.instance(key).report.id);
                self.log_disruption(now, Cause::Hang, task);
                self.blame(now, key, task);
            }
            self.stop(now, task);
        }
    }

    /// Whether a run has made no progress for too long.
    ///
    /// Handles instances on which runs hang. Time in which the instance does not answer does not
    /// count.
    fn is_stalled(&self, key: instance::Key, task: TaskKey) -> bool {
        let job = &self.jobs[&task.job];
        let state = &job.tasks[task.index as usize];
        let idle = self.instance(key).answered_at.since(state.progressed_at);
        // Most runs have made progress lately.
        if idle <= self.tuning.stall_timeout || !matches!(state.phase, Phase::Running(_)) {
            return false;
        }
        let step = job.step(task.index);
        let timeout = if step.long_running {
            self.tuning.stall_timeout * 2
        } else {
            self.tuning.stall_timeout.max(self.task_duration(job, step).mul_f64(MAX_STALL_SHARE))
        };
        state.throttle_percent == 100 && !step.best_effort && idle > timeout
    }

    /// Stops all runs of an ended job.
    pub(super) fn stop_ended(&mut self, now: Time, id: Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        let sent = job.tasks.iter().enumerate().filter(|(_, task)| task.phase.is_sent());
        let keys: Vec<TaskKey> = sent.map(|(index, _)| job.task_key(index as u32)).collect();
        for key in keys {
            self.stop(now, key);
        }
    }

    /// Sends a stop command for a run, unless one was sent less than [`STOP_RETRY_DELAY`] ago.
    pub(super) fn stop(&mut self, now: Time, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        let Some(instance) = task.phase.instance() else { return };
        let recently_sent = task.stop_sent_at.is_some_and(|at| now.since(at) < STOP_RETRY_DELAY);
        if recently_sent || !task.phase.is_sent() {
            return;
        }
        task.stop_sent_at = Some(now);
        let run = task.run;
        self.commands.push(Command { instance, task: key, name, run, action: Action::Stop });
    }

    /// Deletes jobs that are past their retention.
    fn delete_old_jobs(&mut self, now: Time) {
        if now.since(self.deleted_at) < DELETE_INTERVAL {
            return;
        }
        self.deleted_at = now;
        let retention = self.tuning.retention;
        let Some(horizon) = now.as_micros().checked_sub(retention.as_micros() as u64) else {
            return;
        };
        let horizon = Time::from_micros(horizon);
        let expired =
            self.jobs.values().filter(|job| job.ended.is_some_and(|ended| ended < horizon));
        let booked = |id: &Id| {
            self.instances.iter().any(|instance| instance.tasks.iter().any(|task| task.job == *id))
        };
        let ids: Vec<Id> = expired.map(|job| job.id).filter(|id| !booked(id)).collect();
        for id in ids {
            if self.dirty.contains(&id) || self.is_in_write(id) {
                continue;
            }
            if let Some(job) = self.remove_job(id) {
                self.deletions.push(Deletion { id, digests: job.digests });
            }
        }
    }

    /// Number of jobs in a state.
    pub fn count_jobs(&self, state: State) -> usize {
        self.jobs.values().filter(|job| job.state == state).count()
    }
}

/// Share of a task's expected duration that may pass without progress: the granularity of the
/// task's clock alone can delay progress by as much.
const MAX_STALL_SHARE: f64 = 0.5;
