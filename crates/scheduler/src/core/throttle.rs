//! Throttles best-effort tasks that slow down latency-sensitive tasks on the same instance.

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::command::Action;
use crate::command::Command;
use crate::instance;
use crate::instance::Heartbeat;
use crate::job::TaskKey;

/// Step in which a throttled task speeds up again, in percent of full speed.
const SPEED_STEP: u8 = 25;

/// Full speed, in percent.
const FULL_SPEED: u8 = 100;

/// Share of a task's latency target above which it counts as about to miss it.
const NEAR_TARGET: f64 = 0.9;

impl Core {
    /// Throttles the best-effort tasks on an instance.
    ///
    /// Handles best-effort tasks that harm latency-sensitive tasks on the same instance: the
    /// best-effort tasks pause as soon as a latency-sensitive task comes close to its latency
    /// target, and speed up again step by step.
    pub(super) fn throttle_best_effort(
        &mut self,
        now: Time,
        key: instance::Key,
        heartbeat: &Heartbeat,
    ) {
        let mut near_target = false;
        let mut best_effort_tasks = Vec::new();
        for run in &heartbeat.running {
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            let Some(index) = job.task_index(run.task) else { continue };
            let target = job.step(index).target_ms;
            let best_effort = job.step(index).best_effort;
            let task = &mut job.tasks[index as usize];
            if task.phase.instance() != Some(key) || task.run != run.run {
                continue;
            }
            if target > 0 {
                near_target |= run.metric as f64 > target as f64 * NEAR_TARGET;
                let over_target = run.metric > target;
                task.over_target_since =
                    if over_target { task.over_target_since.or(Some(now)) } else { None };
            }
            if best_effort {
                best_effort_tasks.push(TaskKey { job: run.task.job, index });
            }
        }
        for task in best_effort_tasks {
            self.throttle(now, key, task, near_target);
        }
    }

    /// Pauses a task if `near_target`, else speeds it up if its last change is long enough ago.
    fn throttle(&mut self, now: Time, instance: instance::Key, key: TaskKey, near_target: bool) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        let interval_passed = now.since(task.throttled_at) >= self.tuning.unthrottle_interval;
        let percent = match (near_target, interval_passed) {
            (true, _) => 0,
            (false, true) => task.throttle_percent.saturating_add(SPEED_STEP).min(FULL_SPEED),
            (false, false) => task.throttle_percent,
        };
        if percent == task.throttle_percent {
            return;
        }
        info!(
            event = "pace",
            task = %name,
            run = task.run,
            percent,
            was = task.throttle_percent,
            pressed = near_target,
        );
        task.throttle_percent = percent;
        task.throttled_at = now;
        let run = task.run;
        let action = Action::Throttle { percent };
        self.commands.push(Command { instance, task: key, name, run, action });
    }
}
