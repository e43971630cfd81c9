//! Decides whether a machine operation may start despite the tasks on its machine, and evicts
//! long-running tasks ahead of it.

use std::collections::BTreeSet;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::availability::Cause;
use crate::job::Phase;
use crate::job::TaskKey;
use crate::machine::Operation;

impl Core {
    /// Whether an operation may start now: a move needs an empty machine, maintenance one whose
    /// tasks may all be evicted at once.
    pub(super) fn can_start(&self, now: Time, operation: &Operation) -> bool {
        let Some(key) = self.instance_on(operation.host()) else { return true };
        if self.may_run_unrecorded(now, self.instance(key)) {
            return false;
        }
        let tasks = &self.instance(key).tasks;
        match operation {
            Operation::Move { .. } => tasks.is_empty(),
            Operation::Maintain { .. } => {
                tasks.iter().all(|&task| self.may_evict_with(task, tasks))
            }
        }
    }

    /// Evicts one long-running task from a machine that holds too many of one step for all of them
    /// to end at once.
    pub(super) fn evict_excess(&mut self, now: Time, operation: &Operation) {
        let Some(key) = self.instance_on(operation.host()) else { return };
        let tasks = self.instance(key).tasks.clone();
        let in_excess = |core: &Self, task: &TaskKey| {
            let long_running = core.jobs[&task.job].step(task.index).long_running;
            long_running && core.may_evict(*task) && !core.may_evict_with(*task, &tasks)
        };
        let Some(task) = tasks.iter().find(|task| in_excess(self, task)).copied() else { return };
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let name = job.task_name(task.index);
            let state = &mut job.tasks[task.index as usize];
            info!(event = "evacuate", task = %name, run = state.run, duty = %operation);
            state.evicted_run = Some(state.run);
        }
        if self.jobs[&task.job].tasks[task.index as usize].stop_sent_at.is_none() {
            self.log_disruption(now, Cause::Evacuate, task);
        }
        self.stop(now, task);
    }

    /// Whether a task may be evicted: its step is long-running, it runs, and fewer of the step's
    /// other tasks are unavailable than [`crate::job::Step::max_unavailable`], where zero means no
    /// limit.
    pub(super) fn may_evict(&self, key: TaskKey) -> bool {
        self.may_evict_with(key, &BTreeSet::new())
    }

    /// Like [`Core::may_evict`], with the tasks in `evicted` counted as unavailable.
    fn may_evict_with(&self, key: TaskKey, evicted: &BTreeSet<TaskKey>) -> bool {
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
        let unavailable = members.filter(|&index| index as u32 != key.index).filter(|&index| {
            let task = &job.tasks[index];
            let available = matches!(task.phase, Phase::Running(_))
                && task.evicted_run.is_none()
                && task.percent == 100
                && self
                    .instance_of(task.phase)
                    .is_some_and(|instance| instance.unresponsive_since.is_none());
            !available || evicted.contains(&TaskKey { job: key.job, index: index as u32 })
        });
        (unavailable.count() as u32) < step.max_unavailable
    }

    /// Marks the tasks on a machine as evicted, since a machine operation is about to end them.
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
