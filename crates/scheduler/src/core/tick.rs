//! What time brings.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::command::Action;
use crate::command::Command;
use crate::instance;
use crate::job::Id;
use crate::job::Phase;
use crate::job::State;
use crate::job::TaskKey;

/// Time after which an order to stop is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Longest probation, as a power of two of the first.
const MAX_DOUBLINGS: u32 = 3;

impl Core {
    /// Lets time pass: occurrences come due, leases lapse, runs hang.
    pub fn tick(&mut self, now: Time) {
        self.start_occurrences(now);
        let keys: Vec<instance::Key> = self.instances().map(|(key, _)| key).collect();
        for key in keys {
            self.expire_leases(now, key);
            self.check_runs(now, key);
        }
        self.delete_old_jobs(now);
        self.update_demand(now);
    }

    fn start_occurrences(&mut self, now: Time) {
        while let Some(&(due, id)) = self.occurrences.first() {
            if due > now {
                return;
            }
            self.occurrences.pop_first();
            self.advance_job(now, id);
        }
    }

    /// Gives up what ran on an instance once it has lapsed for sure.
    fn expire_leases(&mut self, now: Time, key: instance::Key) {
        let runner = self.instance(key);
        let lost = runner.unresponsive_since.is_some() || !runner.synced;
        if !lost || runner.tasks.is_empty() || now < runner.leases_expire_at(&self.tuning) {
            return;
        }
        let silent_ms = now.since(runner.answered_at).as_millis();
        let tasks = runner.tasks.len();
        info!(event = "lapse", runner = runner.report.id, silent_ms, tasks);
        let runner = self.instance_mut(key);
        runner.synced = false;
        let tasks = runner.tasks.clone();
        for task in &tasks {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.tasks[task.index as usize].end_presumed = true;
            }
        }
        self.unassign_all(now, key, Phase::is_sent);
    }

    /// Stops runs of ended jobs and runs that hang.
    fn check_runs(&mut self, now: Time, key: instance::Key) {
        let tasks: Vec<TaskKey> = self.instance(key).tasks.iter().copied().collect();
        for task in tasks {
            let job = &self.jobs[&task.job];
            if self.instance(key).superseded.contains(&task) {
                // The next look stops it, as a run that nobody asked for.
                continue;
            }
            if job.state.is_ended() {
                self.stop(now, task);
            } else if self.is_stalled(key, task) {
                let name = job.task_name(task.index);
                info!(event = "hang", task = %name, runner = self.instance(key).report.id);
                self.record_failure(now, key);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.tasks[task.index as usize].avoid = Some(key);
                }
                self.stop(now, task);
            }
        }
    }

    /// Answers instances on which runs stand still.
    fn is_stalled(&self, key: instance::Key, task: TaskKey) -> bool {
        let job = &self.jobs[&task.job];
        let state = &job.tasks[task.index as usize];
        let step = job.step(task.index);
        let stall = if step.long_running {
            self.tuning.stall_timeout * 2
        } else {
            self.tuning.stall_timeout.max(self.task_duration(job, step).mul_f64(MAX_STALL_SHARE))
        };
        let answered = self.instance(key).answered_at;
        matches!(state.phase, Phase::Running(_))
            && state.stop_sent_at.is_none()
            && state.throttle_percent == 100
            && !step.best_effort
            && answered.since(state.progressed_at) > stall
    }

    /// Stops what is out of an ended job.
    pub(super) fn stop_ended(&mut self, now: Time, id: Id) {
        let Some(job) = self.jobs.get(&id) else { return };
        let out = job.tasks.iter().enumerate().filter(|(_, task)| task.phase.is_sent());
        let keys: Vec<TaskKey> = out.map(|(index, _)| job.task_key(index as u32)).collect();
        for key in keys {
            self.stop(now, key);
        }
    }

    /// Orders a run to end, again if it has not for a while.
    pub(super) fn stop(&mut self, now: Time, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        let Some(runner) = task.phase.instance() else { return };
        let waits = task.stop_sent_at.is_some_and(|at| now.since(at) < STOP_RETRY_DELAY);
        if waits || !task.phase.is_sent() {
            return;
        }
        task.stop_sent_at = Some(now);
        let run = task.run;
        self.commands.push(Command {
            instance: runner,
            task: key,
            name,
            run,
            action: Action::Stop,
        });
    }

    /// Forgets jobs that ended long ago.
    fn delete_old_jobs(&mut self, now: Time) {
        let keep = self.tuning.retention;
        let Some(horizon) = now.as_micros().checked_sub(keep.as_micros() as u64) else { return };
        let horizon = Time::from_micros(horizon);
        let old = self.jobs.values().filter(|job| job.ended.is_some_and(|ended| ended < horizon));
        let booked = |id: &Id| {
            self.instances.iter().any(|runner| runner.tasks.iter().any(|task| task.job == *id))
        };
        let ids: Vec<Id> = old.map(|job| job.id).filter(|id| !booked(id)).collect();
        for id in ids {
            if self.dirty.contains(&id) || self.writing.contains(&id) {
                continue;
            }
            self.jobs.remove(&id);
            self.deletions.push(id);
        }
    }

    /// Counts a failure against an instance.
    ///
    /// Answers instances that fail, hang or refuse all that they get: failing fast looks like room.
    pub(super) fn record_failure(&mut self, now: Time, key: instance::Key) {
        let tuning = self.tuning;
        let runner = self.instance_mut(key);
        runner.failures += 1;
        if runner.failures < tuning.max_failures && !runner.on_probation {
            return;
        }
        let term = tuning.probation * 2_u32.pow(runner.probations.min(MAX_DOUBLINGS));
        runner.suspended_until = now + term;
        runner.on_probation = true;
        runner.probations += 1;
        let strikes = runner.failures;
        let id = &runner.report.id;
        info!(event = "suspend", runner = id, strikes, term_ms = term.as_millis());
    }

    /// Counts a success for an instance.
    pub(super) fn record_success(&mut self, key: instance::Key) {
        let runner = self.instance_mut(key);
        runner.failures = 0;
        if runner.on_probation {
            info!(event = "trust", runner = runner.report.id);
            runner.on_probation = false;
        }
    }

    /// Number of jobs in a state.
    pub fn count_jobs(&self, state: State) -> usize {
        self.jobs.values().filter(|job| job.state == state).count()
    }
}

/// Share of a task's expected time without progress that may be the clock's grain.
const MAX_STALL_SHARE: f64 = 0.5;
