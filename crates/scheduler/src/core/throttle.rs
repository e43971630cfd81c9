//! Work that disturbs its neighbours is slowed down.

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::command::Action;
use crate::command::Command;
use crate::instance;
use crate::instance::Heartbeat;
use crate::job::TaskKey;

/// Percent by which a paced task is let faster again at a time.
const SPEED_STEP: u8 = 25;

/// Full speed.
const FULL_SPEED: u8 = 100;

/// Share of its target above which a serving task's tail counts as about to be over it.
const NEAR_TARGET: f64 = 0.9;

impl Core {
    /// Answers filling work that harms serving tasks beside it: it stands still as soon as one of
    /// them is over its target, and comes back step by step.
    pub(super) fn throttle_best_effort(&mut self, now: Time, key: instance::Key, look: &Heartbeat) {
        let mut pressed = false;
        let mut fillers = Vec::new();
        for run in &look.running {
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            let Some(index) = job.task_index(run.task) else { continue };
            let target = job.step(index).target_ms;
            let fills = job.step(index).best_effort;
            let task = &mut job.tasks[index as usize];
            if task.phase.instance() != Some(key) || task.run != run.run {
                continue;
            }
            if target > 0 {
                pressed |= run.metric as f64 > target as f64 * NEAR_TARGET;
                let over = run.metric > target;
                task.over_target_since =
                    if over { task.over_target_since.or(Some(now)) } else { None };
            }
            if fills {
                fillers.push(TaskKey { job: run.task.job, index });
            }
        }
        for filler in fillers {
            self.throttle(now, key, filler, pressed);
        }
    }

    fn throttle(&mut self, now: Time, runner: instance::Key, key: TaskKey, pressed: bool) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        let settled = now.since(task.throttled_at) >= self.tuning.throttle_after;
        let percent = match (pressed, settled) {
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
            pressed,
        );
        task.throttle_percent = percent;
        task.throttled_at = now;
        let run = task.run;
        let action = Action::Throttle { percent };
        self.commands.push(Command { instance: runner, task: key, name, run, action });
    }
}
