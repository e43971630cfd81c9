//! The disruption budget of long-running steps: every order that ends a run of such a step asks here.
//!
//! An order counts against the budget from the moment when it is decided until a later run of its task
//! works at full speed. The store holds it before the run is told to stop, or, for calls to machines,
//! holds the machine: the next leader counts it, too.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::availability::Cause;
use crate::instance;
use crate::job::Phase;
use crate::job::TaskKey;
use crate::machine::Operation;

/// Time after which an order has taken effect or never will: a run that still works then counts as
/// available again.
pub(super) const MAX_ORDER_TIME: Duration = Duration::from_secs(6);

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
                tasks.iter().all(|&task| self.may_evict_with(now, task, tasks))
            }
        }
    }

    /// Evicts one long-running task from a machine that holds too many of one step for all of them
    /// to end at once.
    pub(super) fn evict_excess(&mut self, now: Time, operation: &Operation) {
        let Some(key) = self.instance_on(operation.host()) else { return };
        let tasks = self.instance(key).tasks.clone();
        let in_excess = |core: &Self, task: &TaskKey| {
            core.may_evict(now, *task) && !core.may_evict_with(now, *task, &tasks)
        };
        let Some(task) = tasks.iter().find(|task| in_excess(self, task)).copied() else { return };
        let job = &self.jobs[&task.job];
        let state = &job.tasks[task.index as usize];
        if state.evicted_run != Some(state.run) {
            let name = job.task_name(task.index);
            info!(event = "evacuate", task = %name, run = state.run, duty = %operation);
        }
        self.evict(now, task);
    }

    /// Whether a run that has made no progress may be stopped. A long-running one must not have begun
    /// to work since the heartbeat that showed it, which instances hold back: its step may lack others.
    pub(super) fn may_stop_stalled(&self, key: TaskKey, fresh: bool) -> bool {
        fresh || !self.jobs[&key.job].step(key.index).long_running
    }

    /// Stops the run of a task, once the store holds that it is evicted.
    fn evict(&mut self, now: Time, key: TaskKey) {
        let task = &self.jobs[&key.job].tasks[key.index as usize];
        let (decided, stopped) = (task.evicted_run == Some(task.run), task.stop_sent_at.is_some());
        // A stop that was sent again may take effect as late as the first one.
        self.mark_evicted(now, key);
        if decided && self.is_saved(key.job) {
            if !stopped {
                self.log_disruption(now, Cause::Evacuate, key);
            }
            self.stop(now, key);
        }
    }

    /// Whether a task may be evicted: its step is long-running, it runs, and fewer of the step's
    /// other tasks are unavailable than [`crate::job::Step::max_unavailable`], where zero means no
    /// limit.
    pub(super) fn may_evict(&self, now: Time, key: TaskKey) -> bool {
        self.may_evict_with(now, key, &BTreeSet::new())
    }

    /// Like [`Core::may_evict`], with the tasks in `evicted` counted as unavailable.
    fn may_evict_with(&self, now: Time, key: TaskKey, evicted: &BTreeSet<TaskKey>) -> bool {
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
            self.absence(now, job, index).is_some()
                || evicted.contains(&TaskKey { job: key.job, index: index as u32 })
        });
        (unavailable.count() as u32) < step.max_unavailable
    }

    /// Marks the tasks on a machine as evicted, since a machine operation is about to end them.
    pub(super) fn mark_machine_evicted(&mut self, now: Time, host: &str) {
        let Some(key) = self.instance_on(host) else { return };
        let tasks: Vec<TaskKey> = self.instance(key).tasks.iter().copied().collect();
        for key in tasks {
            self.mark_evicted(now, key);
        }
    }

    /// Counts the newest run of a task as evicted.
    fn mark_evicted(&mut self, now: Time, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let task = &mut job.tasks[key.index as usize];
        task.evicted_at = now;
        if task.evicted_run.replace(task.run) != Some(task.run) {
            self.dirty.insert(key.job);
        }
    }

    /// Counts a task as available again whose evicted run was seen at full speed after
    /// [`MAX_ORDER_TIME`], or a later one at any time.
    pub(super) fn refute_eviction(&mut self, now: Time, key: instance::Key, task_key: TaskKey) {
        let Some(job) = self.jobs.get(&task_key.job) else { return };
        let Some(evicted) = job.tasks[task_key.index as usize].evicted_run else { return };
        let host = self.operations.host_by_instance.get(&self.instance(key).report.id);
        let called = host
            .and_then(|host| self.operations.pending.get(host))
            .is_some_and(|pending| pending.called);
        let Some(job) = self.jobs.get_mut(&task_key.job) else { return };
        let task = &mut job.tasks[task_key.index as usize];
        let outlived = !called && now.since(task.evicted_at) > MAX_ORDER_TIME;
        if task.percent == 100 && (task.run > evicted || outlived) {
            task.evicted_run = None;
            self.dirty.insert(task_key.job);
        }
    }
}
