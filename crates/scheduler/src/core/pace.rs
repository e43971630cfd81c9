//! Work that disturbs its neighbours is slowed down.

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::job::TaskKey;
use crate::order::Action;
use crate::order::Order;
use crate::runner;
use crate::runner::Look;

/// Percent by which a paced task is let faster again at a time.
const RISE: u8 = 25;

/// Full speed.
const FULL: u8 = 100;

/// Share of its target above which a serving task's tail counts as about to be over it.
const NEAR: f64 = 0.9;

impl Core {
    /// Answers filling work that harms serving tasks beside it: it stands still as soon as one of
    /// them is over its target, and comes back step by step.
    pub(super) fn watch_neighbours(&mut self, now: Time, key: runner::Key, look: &Look) {
        let mut pressed = false;
        let mut fillers = Vec::new();
        for run in &look.running {
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            let Some(index) = job.index(run.task) else { continue };
            let target = job.step(index).target_ms;
            let fills = job.step(index).fills;
            let task = &mut job.tasks[index as usize];
            if task.phase.runner() != Some(key) || task.run != run.run {
                continue;
            }
            if target > 0 {
                pressed |= run.figure as f64 > target as f64 * NEAR;
                let over = run.figure > target;
                task.over = if over { task.over.or(Some(now)) } else { None };
            }
            if fills {
                fillers.push(TaskKey { job: run.task.job, index });
            }
        }
        for filler in fillers {
            self.pace(now, key, filler, pressed);
        }
    }

    fn pace(&mut self, now: Time, runner: runner::Key, key: TaskKey, pressed: bool) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.name(key.index);
        let task = &mut job.tasks[key.index as usize];
        let settled = now.since(task.paced) >= self.tuning.harm;
        let percent = match (pressed, settled) {
            (true, _) => 0,
            (false, true) => task.pace.saturating_add(RISE).min(FULL),
            (false, false) => task.pace,
        };
        if percent == task.pace {
            return;
        }
        info!(event = "pace", task = %name, run = task.run, percent, was = task.pace, pressed);
        task.pace = percent;
        task.paced = now;
        let run = task.run;
        let action = Action::Pace { percent };
        self.orders.push(Order { runner, task: key, name, run, action });
    }
}
