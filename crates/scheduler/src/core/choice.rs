//! Chooses the instance for a task.

use std::time::Duration;

use fleet::time::Time;

use super::Core;
use crate::instance;
use crate::instance::Closure;
use crate::instance::Instance;
use crate::job::Id;
use crate::job::Job;
use crate::job::Step;
use crate::job::TaskKey;

/// Time after which a task that only suspended instances can take is placed on one of them.
const LAST_RESORT_DELAY: Duration = Duration::from_secs(1);

/// Time for which a job avoids an instance where it has failed.
const AVOID_TIME: Duration = Duration::from_secs(10);

/// Time for which a long-running task waits for a machine that no leader may have called.
const MAX_CALLED_WAIT: Duration = Duration::from_millis(1_500);

/// Maximum time for which a ready task waits for another instance than those where its job has
/// failed: longer than a job waits before it tries suspended instances.
pub(super) const MAX_AVOID_WAIT: Duration = Duration::from_millis(2_300);

/// Cost of placing a task where its job has just failed, in millicores: such that a second without
/// another failure outweighs any difference in free CPU.
const MAX_FAILURE_COST: f64 = 4.0 * PENALTY as f64;

/// Cost of an unfavourable placement, in millicores: so high that it is chosen only if there is no
/// better one.
const PENALTY: i64 = 1_000_000;

/// Cost of placing a task on an instance that is slow by comparison, in millicores: more than any difference in
/// free CPU, so that other instances with room come first, and less than that of a rack without the data.
const SLOW_PENALTY: i64 = PENALTY / 2;

/// Age below which a run may still crash its instance.
const YOUNG_AGE: Duration = Duration::from_millis(500);

/// Why a task can't be placed on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Obstacle {
    /// The instance takes no new tasks.
    #[display("{_0}")]
    Closed(Closure),
    /// It is too small, or lacks the label that the task requires.
    #[display("unfit")]
    Unfit,
    /// It is kept free for a long-running task.
    #[display("held")]
    Held,
    /// Other tasks leave too little room.
    #[display("no-room")]
    NoRoom,
    /// A suspect runs there apart from others, or the task is a suspect that has to wait for an
    /// instance of its own.
    #[display("trial")]
    Trial,
    /// The job has failed or hung there lately.
    #[display("avoided")]
    Avoided,
    /// A previous leader may have sent a call for its machine, which would end the task.
    #[display("called")]
    Called,
    /// As many tasks of the step run there as may.
    #[display("anti-affinity")]
    AntiAffinity,
}

/// Why no instance can take a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lack {
    /// No instance has room, so that none can take any task that needs as much.
    Room,
    /// A reason that depends on the job.
    Other,
}

impl Core {
    /// The instance with the lowest cost for a task, or why no instance can take it.
    pub(super) fn pick_instance(
        &self,
        now: Time,
        id: Id,
        index: u32,
    ) -> Result<instance::Key, Lack> {
        let job = &self.jobs[&id];
        let step = job.step(index);
        let Some(pool) = self.pools.get(&job.service) else { return Err(Lack::Room) };
        let siblings = job.siblings(index);
        let suspect = job.tasks[index as usize].is_suspect();
        let mut best: Option<(i64, instance::Key)> = None;
        let mut any_busy = false;
        let mut lack = if suspect { Lack::Other } else { Lack::Room };
        let mut suspended = Vec::new();
        for &key in pool {
            // No placement costs less than the CPU that it leaves free, but for those of suspects.
            if let Some((lowest, _)) = best
                && !suspect
                && !(0..lowest).contains(&self.instance(key).free_cpu(step))
            {
                continue;
            }
            match self.obstacle(now, job, index, key) {
                None => {}
                Some(Obstacle::NoRoom | Obstacle::Closed(Closure::Full)) => {
                    any_busy = true;
                    continue;
                }
                Some(Obstacle::Closed(Closure::Suspended | Closure::Probation)) => {
                    lack = Lack::Other;
                    suspended.push(key);
                    continue;
                }
                Some(Obstacle::Held) => {
                    any_busy = true;
                    lack = Lack::Other;
                    continue;
                }
                Some(
                    Obstacle::Avoided | Obstacle::AntiAffinity | Obstacle::Called | Obstacle::Trial,
                ) => {
                    lack = Lack::Other;
                    continue;
                }
                Some(Obstacle::Closed(_) | Obstacle::Unfit) => continue,
            }
            let instance = self.instance(key);
            let siblings_here = instance.tasks.range(siblings.clone()).count() as u32;
            // Maintenance of one machine must not make more tasks of a step unavailable than
            // allowed.
            let over_limit = step.long_running
                && step.max_unavailable > 0
                && siblings_here >= step.max_unavailable;
            let cost = i64::from(over_limit) * PENALTY
                + failure_cost(now, job, key)
                + self.placement_cost(now, instance, job, step, &siblings, suspect);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        match best {
            Some((_, key)) => Ok(key),
            None if any_busy
                && !step.long_running
                && (suspended.is_empty() || self.ends_make_room(now, job, step)) =>
            {
                Err(lack)
            }
            None => self.pick_suspended(now, job, index, &suspended).ok_or(lack),
        }
    }

    /// Whether an open instance will have room for a task of a step once the short tasks there have
    /// ended.
    fn ends_make_room(&self, now: Time, job: &Job, step: &Step) -> bool {
        let pool = self.pools.get(&job.service).into_iter().flatten();
        let mut instances = pool.map(|&key| self.instance(key));
        instances.any(|instance| {
            matches!(instance.closure(now), None | Some(Closure::Full))
                && instance.fits(step)
                && self.used_by_long_running(instance).with(step).fits_in(&instance.report.capacity)
        })
    }

    /// The instance for a task that no other one can take, however empty: of the suspended ones that
    /// can, the one whose suspension ends first. None until the task has waited for
    /// [`LAST_RESORT_DELAY`].
    ///
    /// Handles tasks of which all other instances run siblings, or lack the label.
    fn pick_suspended(
        &self,
        now: Time,
        job: &Job,
        index: u32,
        suspended: &[instance::Key],
    ) -> Option<instance::Key> {
        let waited = now.since(job.tasks[index as usize].since);
        if waited < LAST_RESORT_DELAY || !self.may_try_suspended(now, job, index) {
            return None;
        }
        let suitable = |key: &&instance::Key| self.mismatch(job, index, **key).is_none();
        let order = |key: &&instance::Key| {
            let end = self.instance(**key).trust.suspended_until();
            (failure_cost(now, job, **key), end, **key)
        };
        suspended.iter().filter(suitable).min_by_key(order).copied()
    }

    /// Why a task can't be placed on an instance of its pool; None if it can.
    pub(super) fn obstacle(
        &self,
        now: Time,
        job: &Job,
        index: u32,
        key: instance::Key,
    ) -> Option<Obstacle> {
        let instance = self.instance(key);
        if let Some(closure) = instance.closure(now) {
            return Some(Obstacle::Closed(closure));
        }
        if self.is_outdated(now, instance) {
            return Some(Obstacle::Closed(Closure::Outdated));
        }
        if instance.trust.readmitted && !self.may_try_suspended(now, job, index) {
            return Some(Obstacle::Closed(Closure::Suspended));
        }
        if self.is_held_for_others(job, index, instance) {
            return Some(Obstacle::Held);
        }
        if self.is_on_trial(now, job, index, instance) {
            return Some(Obstacle::Trial);
        }
        let waited = now.since(job.tasks[index as usize].since);
        if waited < MAX_CALLED_WAIT && job.step(index).long_running && self.may_be_called(now, key)
        {
            return Some(Obstacle::Called);
        }
        if waited < MAX_AVOID_WAIT && self.avoids(now, job, key) {
            return Some(Obstacle::Avoided);
        }
        self.mismatch(job, index, key)
    }

    /// Whether a job avoids an instance of its pool, since it has failed there lately.
    pub(super) fn avoids(&self, now: Time, job: &Job, key: instance::Key) -> bool {
        let failed_at = job.failed_on.get(&key);
        failed_at.is_some_and(|&at| now.since(at) < AVOID_TIME)
            && self.pools.get(&job.service).is_some_and(|pool| pool.len() > 1)
    }

    /// Why a task can't be placed on an instance even if the instance takes tasks; None if it can.
    pub(super) fn mismatch(&self, job: &Job, index: u32, key: instance::Key) -> Option<Obstacle> {
        let instance = self.instance(key);
        let step = job.step(index);
        if !instance.fits(step) {
            return Some(Obstacle::Unfit);
        }
        let siblings_here = || instance.tasks.range(job.siblings(index)).count() as u32;
        if step.anti_affinity > 0 && siblings_here() >= step.anti_affinity {
            return Some(Obstacle::AntiAffinity);
        }
        (!instance.has_room(step)).then_some(Obstacle::NoRoom)
    }

    /// Cost of placing a task on an instance, lower being better. Packs short tasks onto the
    /// fullest instances, so that other instances stay empty and their machines can move.
    fn placement_cost(
        &self,
        now: Time,
        instance: &Instance,
        job: &Job,
        step: &Step,
        siblings: &std::ops::Range<TaskKey>,
        suspect: bool,
    ) -> i64 {
        let mut cost =
            if suspect { self.trial_cost(now, instance, job.id) } else { instance.free_cpu(step) };
        if !step.affinity.is_empty() && !instance.report.labels.contains(&step.affinity) {
            cost += PENALTY;
        }
        let distrusted = instance.trust.is_suspended(now) || instance.trust.is_on_probation(now);
        if instance.trust.failures() > 0 || distrusted {
            cost += PENALTY;
        }
        cost += self.conflicts(now, instance, job, step) as i64 * PENALTY / 2;
        if !step.long_running && instance.speed.is_slow(now) {
            cost += SLOW_PENALTY;
        }
        if step.same_rack {
            let first_rack = self.first_rack(job, siblings);
            if first_rack.is_some_and(|rack| rack != instance.rack()) {
                cost += PENALTY;
            }
        }
        if step.long_running {
            cost += self.long_running_cost(instance, step, job, siblings);
        }
        cost
    }

    /// Cost of placing a suspect on an instance: the less a crash would end there, and the less else
    /// may cause one, the lower.
    fn trial_cost(&self, now: Time, instance: &Instance, job: Id) -> i64 {
        if instance.trials.iter().any(|trial| trial.job == job) {
            return 0;
        }
        let long_running = instance.tasks.len() > instance.short_tasks;
        let is_young = |key: &TaskKey| {
            let task = &self.jobs[&key.job].tasks[key.index as usize];
            key.job != job && now.since(task.since) < YOUNG_AGE
        };
        let young = instance.tasks.iter().any(is_young);
        instance.used.cpu as i64
            + i64::from(long_running) * PENALTY / 2
            + i64::from(young) * PENALTY / 4
    }

    /// Rack of a step's first assigned task.
    fn first_rack(&self, job: &Job, siblings: &std::ops::Range<TaskKey>) -> Option<&str> {
        let range = siblings.start.index as usize..siblings.end.index as usize;
        let placed = job.tasks[range].iter().find_map(|task| task.phase.instance());
        placed.map(|key| self.instance(key).rack())
    }

    /// Additional cost for a long-running task. Keeps such tasks on few machines that await no
    /// maintenance, spread over racks, and best-effort tasks apart from latency-sensitive ones.
    fn long_running_cost(
        &self,
        instance: &Instance,
        step: &Step,
        job: &Job,
        siblings: &std::ops::Range<TaskKey>,
    ) -> i64 {
        let mut cost = 0;
        let mut has_long_running = false;
        for other in &instance.tasks {
            let Some(other_job) = self.jobs.get(&other.job) else { continue };
            let other_step = other_job.step(other.index);
            has_long_running |= other_step.long_running;
            let latency_sensitive = step.target_ms > 0 || other_step.target_ms > 0;
            if other_step.best_effort != step.best_effort && latency_sensitive {
                cost += PENALTY;
            }
        }
        if !has_long_running {
            cost += PENALTY / 4;
        }
        if self.awaits_maintenance(&instance.report.id) {
            cost += PENALTY / 2;
        }
        let range = siblings.start.index as usize..siblings.end.index as usize;
        let assigned = job.tasks[range].iter().filter_map(|task| task.phase.instance());
        let same_rack =
            assigned.filter(|&key| self.instance(key).rack() == instance.rack()).count();
        cost + same_rack as i64 * PENALTY / 8
    }
}

/// Cost of placing a task on an instance where its job has failed or not been started, higher the
/// less time has passed since. So a job that fails on several instances tries each of them in turn.
fn failure_cost(now: Time, job: &Job, key: instance::Key) -> i64 {
    let Some(&at) = job.failed_on.get(&key).max(job.not_started_on.get(&key)) else { return 0 };
    let left = AVOID_TIME.saturating_sub(now.since(at)).div_duration_f64(AVOID_TIME);
    (left * MAX_FAILURE_COST) as i64
}
