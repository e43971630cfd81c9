//! Keeps instances free for long-running tasks that find no room, and in their pools for short ones.
//!
//! Handles tasks that need nearly all memory of an instance: short tasks that fill every instance again
//! as soon as others end would keep them waiting without a bound, and so would moves of the machines
//! that they fit on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::choice::MAX_AVOID_WAIT;
use crate::instance;
use crate::instance::Capacity;
use crate::instance::Instance;
use crate::instance::Usage;
use crate::job::Job;
use crate::job::Moved;
use crate::job::Phase;
use crate::job::TaskKey;

/// Time after which an instance is emptied of short tasks, or a machine fetched, for a task that finds
/// no room.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// Time until the instance on a machine that has arrived in a pool is listed.
const LISTING_TIME: Duration = Duration::from_secs(1);

/// Share of a pool's instances that are kept free at once, though one at least.
const MAX_HELD_SHARE: f64 = 0.25;

/// Number of waiting tasks of a pool that are looked at, those first that have waited longest.
const MAX_TASKS: usize = 16;

/// Instances that are kept free, and what pools lack for the tasks that none can be kept free for.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    /// Instances by the task that they are kept free for.
    by_task: BTreeMap<TaskKey, instance::Key>,
    /// CPU of the machines that are lacking, in millicores by service.
    lacking: BTreeMap<String, f64>,
    /// Instances that stay in their pools for short tasks.
    kept: BTreeSet<instance::Key>,
}

impl Core {
    /// Chooses anew which instances are kept free for which tasks.
    pub(super) fn update_holds(&mut self, now: Time) {
        let previous = std::mem::take(&mut self.holds);
        for key in previous.by_task.values() {
            self.instance_mut(*key).held_for = None;
        }
        for (service, mut tasks) in self.waiting_long_running(now) {
            tasks.sort_unstable();
            let pool_size = self.pools.get(&service).map_or(0, |pool| pool.len());
            let mut free_holds = ((pool_size as f64 * MAX_HELD_SHARE) as usize).max(1);
            for (since, task) in tasks.into_iter().take(MAX_TASKS) {
                let waited = now.since(since);
                let held = previous.by_task.get(&task).copied();
                // What has room for it now stays held until the task is placed there.
                if held.is_none() && self.has_room_for(task) {
                    continue;
                }
                let chosen = match free_holds {
                    0 => None,
                    _ => self.choose_hold(now, task, waited, held),
                };
                if let Some(key) = chosen {
                    free_holds -= 1;
                    self.hold(task, key, waited, held == Some(key));
                } else if waited >= MIN_WAIT
                    && let Some(cpu) = self.lacking_cpu(task)
                {
                    *self.holds.lacking.entry(service.clone()).or_default() += cpu;
                }
            }
        }
        self.update_kept(now);
    }

    /// Keeps an instance without long-running tasks in each pool in which a short task has waited that
    /// fits on no other, or counts one as lacking.
    ///
    /// Handles pools that need little CPU, and whose machines have moved elsewhere except for those that
    /// run long-running tasks: no short task that ends there makes room for a large one.
    fn update_kept(&mut self, now: Time) {
        for (service, tasks) in self.waiting_short(now) {
            let pool = self.pools.get(&service).into_iter().flatten().copied();
            let (clear, shared): (Vec<instance::Key>, Vec<instance::Key>) =
                pool.partition(|&key| self.instance(key).runs_only_short_tasks());
            let shared = shared.into_iter().filter(|&key| self.stays(key));
            let shared: Vec<(instance::Key, Usage)> =
                shared.map(|key| (key, self.used_by_long_running(self.instance(key)))).collect();
            // A task that no instance can be kept or fetched for must not hide those behind it.
            for task in tasks {
                if self.keep_for(task, &service, &clear, &shared) {
                    break;
                }
            }
        }
    }

    /// Keeps an instance of a pool for a short task, or counts one as lacking. Returns whether it did: not
    /// if the task fits elsewhere in its turn, or on no machine.
    ///
    /// `clear` are the pool's instances without long-running tasks, `shared` those with some that stay, with
    /// what these book.
    fn keep_for(
        &mut self,
        task: TaskKey,
        service: &str,
        clear: &[instance::Key],
        shared: &[(instance::Key, Usage)],
    ) -> bool {
        let step = self.jobs[&task.job].step(task.index);
        let fits_beside = shared.iter().any(|&(key, used)| {
            let instance = self.instance(key);
            instance.fits(step) && used.with(step).fits_in(&instance.report.capacity)
        });
        let fitting = || clear.iter().copied().filter(|&key| self.instance(key).fits(step));
        let staying = fitting().filter(|&key| self.stays(key));
        if fits_beside || staying.clone().nth(1).is_some() {
            return false;
        }
        let leaving = |key: &instance::Key| self.cancellable_operation(*key).is_some();
        let found = staying.clone().next().or_else(|| fitting().find(leaving));
        if let Some(key) = found {
            if let Some(host) = self.cancellable_operation(key) {
                self.remove_operation(&host);
            }
            self.holds.kept.insert(key);
        } else if let Some(cpu) = self.lacking_cpu(task) {
            let lacking = self.holds.lacking.entry(service.to_owned()).or_default();
            *lacking = lacking.max(cpu);
        } else {
            return false;
        }
        true
    }

    /// Whether the machine of an instance has to stay in its pool.
    pub(super) fn is_kept(&self, key: instance::Key) -> bool {
        self.instance(key).held_for.is_some() || self.holds.kept.contains(&key)
    }

    /// Pools in which at least two instances without long-running tasks stay that are as large as any of
    /// the pool.
    fn roomy_pools(&self) -> BTreeSet<&str> {
        let is_clear =
            |key: &instance::Key| self.instance(*key).runs_only_short_tasks() && self.stays(*key);
        let capacity = |key: &instance::Key| self.instance(*key).report.capacity;
        let is_roomy = |pool: &BTreeSet<instance::Key>| {
            let largest = pool.iter().map(capacity).fold(Capacity::default(), Capacity::max);
            let mut clear = pool.iter().filter(|key| capacity(key) == largest && is_clear(key));
            clear.nth(1).is_some()
        };
        let roomy = self.pools.iter().filter(|(_, pool)| is_roomy(pool));
        roomy.map(|(service, _)| service.as_str()).collect()
    }

    /// Short tasks that have been ready for [`MIN_WAIT`], by service, except in roomy pools: of each step
    /// of a job, one.
    fn waiting_short(&self, now: Time) -> BTreeMap<String, Vec<TaskKey>> {
        let mut waiting: BTreeMap<String, Vec<TaskKey>> = BTreeMap::new();
        let roomy = self.roomy_pools();
        for id in &self.schedulable {
            let Some(job) = self.jobs.get(id) else { continue };
            if roomy.contains(job.service.as_str()) {
                continue;
            }
            let mut index = 0;
            while index < job.tasks.len() {
                let name = job.task_name(index as u32);
                let members = job.members(name.occurrence, name.step as usize);
                let step = job.step(index as u32);
                let waits = |&member: &usize| {
                    let task = &job.tasks[member];
                    task.phase == Phase::Ready && now.since(task.since) >= MIN_WAIT
                };
                let found =
                    members.clone().find(waits).filter(|_| !step.long_running && !step.gang);
                let found = found.filter(|_| self.cap_admits(now, job, step, 1));
                if let Some(member) = found {
                    let key = job.task_key(member as u32);
                    waiting.entry(job.service.clone()).or_default().push(key);
                }
                index = members.end.max(index + 1);
            }
        }
        waiting
    }

    /// CPU that a pool lacks for tasks that find no room in it, however many others end, in millicores.
    pub(super) fn lacking_for_waiting(&self, now: Time, service: &str) -> f64 {
        let lacking = self.holds.lacking.get(service).copied().unwrap_or_default();
        if lacking > 0.0 && self.awaits_instance(now, service) { 0.0 } else { lacking }
    }

    /// Whether an instance is kept free for tasks other than those of the step of a task.
    pub(super) fn is_held_for_others(&self, job: &Job, index: u32, instance: &Instance) -> bool {
        instance.held_for.is_some_and(|task| !job.siblings(index).contains(&task))
    }

    /// Whether an instance is kept free for a task of the step of this one.
    pub(super) fn has_hold(&self, job: &Job, index: u32) -> bool {
        self.holds.by_task.range(job.siblings(index)).next().is_some()
    }

    /// Ready long-running tasks by service, with the time since when they have been ready.
    fn waiting_long_running(&self, now: Time) -> BTreeMap<String, Vec<(Time, TaskKey)>> {
        let mut waiting: BTreeMap<String, Vec<(Time, TaskKey)>> = BTreeMap::new();
        let mut known_starts: BTreeMap<(&str, Moved), bool> = BTreeMap::new();
        for id in &self.schedulable {
            let Some(job) = self.jobs.get(id) else { continue };
            if !job.spec.is_long_running() {
                continue;
            }
            // Looks at all machines.
            let services = (job.service.as_str(), job.moved);
            let knows = || self.knows_all_starts(now, job);
            let all_known =
                !job.maybe_unrecorded || *known_starts.entry(services).or_insert_with(knows);
            for (index, task) in job.tasks.iter().enumerate() {
                let step = job.step(index as u32);
                let known = all_known || job.knows_starts(index as u32);
                let ready = task.phase == Phase::Ready && task.restart.is_due(now) && known;
                let waits = ready && step.long_running && !step.gang;
                if waits && self.cap_admits(now, job, step, 1) {
                    let key = job.task_key(index as u32);
                    waiting.entry(job.service.clone()).or_default().push((task.since, key));
                }
            }
        }
        waiting
    }

    /// Whether a machine has just arrived in a pool, so that its instance may not be listed yet.
    fn awaits_instance(&self, now: Time, service: &str) -> bool {
        let mut arrived = self.operations.finished_at.iter().filter(|(host, _)| {
            self.machines.get(*host).is_some_and(|machine| machine.pool == service)
        });
        arrived.any(|(_, &at)| now.since(at) < LISTING_TIME)
    }

    /// Whether an instance responds, stays in its pool, and is not kept free.
    fn stays(&self, key: instance::Key) -> bool {
        let instance = self.instance(key);
        let leaves = instance.report.draining || instance.reserved || !instance.listed;
        !leaves && instance.unresponsive_since.is_none() && instance.held_for.is_none()
    }

    /// Whether an instance of its pool has room for a task. If it doesn't take the task yet, because
    /// the job has failed there, say, that ends by itself.
    fn has_room_for(&self, task: TaskKey) -> bool {
        let job = &self.jobs[&task.job];
        let pool = self.pools.get(&job.service).into_iter().flatten();
        let mut staying = pool.filter(|&&key| self.stays(key));
        staying.any(|&key| self.mismatch(job, task.index, key).is_none())
    }

    /// The instance to keep free for a task: `held` if it still can be, else the one that is soonest
    /// empty enough.
    fn choose_hold(
        &self,
        now: Time,
        task: TaskKey,
        waited: Duration,
        held: Option<instance::Key>,
    ) -> Option<instance::Key> {
        let job = &self.jobs[&task.job];
        let pool = self.pools.get(&job.service)?;
        let suitable = pool.iter().filter(|&&key| self.can_hold(now, task, waited, key));
        // Of two machines that await maintenance, the emptier one can be maintained sooner.
        suitable.copied().min_by_key(|&key| {
            let tasks = Reverse(self.instance(key).tasks.len());
            (held != Some(key), self.time_to_empty(now, key), tasks, key)
        })
    }

    /// Whether an instance may be kept free for a task, and the task fits there once the short tasks
    /// on it have ended.
    fn can_hold(&self, now: Time, task: TaskKey, waited: Duration, key: instance::Key) -> bool {
        let job = &self.jobs[&task.job];
        let step = job.step(task.index);
        let instance = self.instance(key);
        let distrusted = instance.trust.is_suspended(now) || instance.trust.is_on_probation(now);
        // A machine that has just arrived is empty, but not synced yet.
        let usable = instance.is_healthy(now) && (instance.synced || instance.tasks.is_empty());
        if !usable || distrusted || instance.held_for.is_some() || !instance.fits(step) {
            return false;
        }
        if waited < MAX_AVOID_WAIT && self.avoids(now, job, key) {
            return false;
        }
        let siblings_here = instance.tasks.range(job.siblings(task.index)).count() as u32;
        if step.anti_affinity > 0 && siblings_here >= step.anti_affinity {
            return false;
        }
        if instance.reserved && self.cancellable_operation(key).is_none() {
            return false;
        }
        if waited < MIN_WAIT {
            return instance.reserved && instance.has_room(step);
        }
        let (used, capacity) = (self.used_by_long_running(instance), instance.report.capacity);
        used.cpu + step.booked_cpu() <= capacity.cpu
            && used.memory + step.memory <= capacity.memory
            && used.accelerators + step.accelerators <= capacity.accelerators
    }

    /// Keeps an instance free for a task, and cancels the operation on its machine.
    fn hold(&mut self, task: TaskKey, key: instance::Key, waited: Duration, known: bool) {
        if let Some(host) = self.cancellable_operation(key) {
            self.remove_operation(&host);
        }
        self.instance_mut(key).held_for = Some(task);
        self.holds.by_task.insert(task, key);
        if !known {
            let instance = self.instance(key);
            info!(
                event = "hold",
                task = %self.jobs[&task.job].task_name(task.index),
                runner = instance.report.id,
                waited_ms = waited.as_millis(),
                tasks = instance.tasks.len(),
            );
        }
    }

    /// The machine of an instance, if an operation on it is planned and no call has been sent.
    ///
    /// Maintenance waits for tasks to be at work again elsewhere: it must not keep them from that.
    fn cancellable_operation(&self, key: instance::Key) -> Option<String> {
        let host = self.operations.host_by_instance.get(&self.instance(key).report.id)?;
        let pending = self.operations.pending.get(host)?;
        (!pending.called).then(|| host.clone())
    }

    /// Expected time until the short tasks on an instance have ended.
    fn time_to_empty(&self, now: Time, key: instance::Key) -> Duration {
        let mut longest = Duration::ZERO;
        for task in &self.instance(key).tasks {
            let job = &self.jobs[&task.job];
            let step = job.step(task.index);
            if !step.long_running {
                let elapsed = now.since(job.tasks[task.index as usize].since);
                longest = longest.max(self.task_duration(job, step).saturating_sub(elapsed));
            }
        }
        longest
    }

    /// Resources that long-running tasks book on an instance.
    pub(super) fn used_by_long_running(&self, instance: &Instance) -> Usage {
        let mut used = Usage::default();
        for task in &instance.tasks {
            let step = self.jobs[&task.job].step(task.index);
            if step.long_running {
                used.cpu += step.booked_cpu();
                used.memory += step.memory;
                used.accelerators += step.accelerators;
            }
        }
        used
    }

    /// CPU of a machine that a task needs beside those of its pool, in millicores. None if no instance
    /// of the pool would be large enough: another machine of its kind would be of no use.
    fn lacking_cpu(&self, task: TaskKey) -> Option<f64> {
        let job = &self.jobs[&task.job];
        let step = job.step(task.index);
        if !step.requires.is_empty() {
            return None;
        }
        let pool = self.pools.get(&job.service).into_iter().flatten();
        let fitting = pool.map(|&key| self.instance(key)).filter(|instance| instance.fits(step));
        fitting.map(|instance| instance.report.capacity.cpu as f64).reduce(f64::min)
    }
}
