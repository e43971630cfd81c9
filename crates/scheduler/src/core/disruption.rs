//! Whether a machine can be called without breaking off what must go on, and what ends before.

use std::collections::BTreeSet;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::job::Phase;
use crate::job::TaskKey;
use crate::machine::Operation;

impl Core {
    /// Whether nothing runs on a machine that its call would break off unduly.
    pub(super) fn can_start(&self, now: Time, duty: &Operation) -> bool {
        let Some(key) = self.instance_on(duty.host()) else { return true };
        if self.may_run_unrecorded(now, self.instance(key)) {
            return false;
        }
        let tasks = &self.instance(key).tasks;
        match duty {
            Operation::Move { .. } => tasks.is_empty(),
            Operation::Maintain { .. } => {
                tasks.iter().all(|&task| self.may_evict_with(task, tasks))
            }
        }
    }

    /// Ends lasting tasks one by one on a machine that holds too many of one step.
    pub(super) fn evict_excess(&mut self, now: Time, duty: &Operation) {
        let Some(key) = self.instance_on(duty.host()) else { return };
        let tasks = self.instance(key).tasks.clone();
        let crowded = |core: &Self, task: &TaskKey| {
            let lasts = core.jobs[&task.job].step(task.index).long_running;
            lasts && core.may_evict(*task) && !core.may_evict_with(*task, &tasks)
        };
        let Some(task) = tasks.iter().find(|task| crowded(self, task)).copied() else { return };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let name = job.task_name(task.index);
            let state = &mut job.tasks[task.index as usize];
            info!(event = "evacuate", task = %name, run = state.run, %duty);
            state.evicted_run = Some(state.run);
        }
        self.stop(now, task);
    }

    /// Whether a task may be ended by our own doing: it lasts, and enough of its step is at work.
    pub(super) fn may_evict(&self, key: TaskKey) -> bool {
        self.may_evict_with(key, &BTreeSet::new())
    }

    /// The same where others are ended with it.
    fn may_evict_with(&self, key: TaskKey, ended: &BTreeSet<TaskKey>) -> bool {
        let job = &self.jobs[&key.job];
        let step = job.step(key.index);
        if !step.long_running {
            return false;
        }
        let state = &job.tasks[key.index as usize];
        if !matches!(state.phase, Phase::Running(_)) {
            return false;
        }
        if step.max_unavailable == 0 {
            return true;
        }
        let name = job.task_name(key.index);
        let members = job.members(name.occurrence, name.step as usize);
        let away = members.filter(|&index| index as u32 != key.index).filter(|&index| {
            let task = &job.tasks[index];
            let works = matches!(task.phase, Phase::Running(_))
                && task.evicted_run.is_none()
                && task.percent == 100
                && self
                    .instance_of(task.phase)
                    .is_some_and(|runner| runner.unresponsive_since.is_none());
            !works || ended.contains(&TaskKey { job: key.job, index: index as u32 })
        });
        (away.count() as u32) < step.max_unavailable
    }

    /// Notes that our own call takes away the tasks on a machine.
    pub(super) fn mark_evicted(&mut self, host: &str) {
        let Some(key) = self.instance_on(host) else { return };
        let tasks: Vec<TaskKey> = self.instance(key).tasks.iter().copied().collect();
        for key in tasks {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                let task = &mut job.tasks[key.index as usize];
                task.evicted_run = Some(task.run);
            }
        }
    }
}
