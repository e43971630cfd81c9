//! Decides in which order tasks are placed, and on which instances.

use std::cmp::Reverse;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::demand::Estimator;
use crate::instance;
use crate::instance::Closure;
use crate::instance::Instance;
use crate::job::FirstPlaced;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Step;
use crate::job::Task;
use crate::job::TaskKey;

/// Jobs of a pool that may fail to find room before the pool's other jobs are skipped: bounds the
/// work of [`Core::place_tasks`] when a pool is full.
const MAX_UNPLACED_JOBS: u32 = 12;

/// Minimum slack that a job needs to count as able to be on time, as a share of its critical path.
const MIN_SLACK_SHARE: f64 = 0.1;

/// Maximum slack that a job needs, as a share of the time allowed beyond its critical path: a job
/// counts as able to be on time at first, however long jobs take.
const MAX_SLACK_SHARE: f64 = 0.5;

/// Time for which a job may have nothing running while starts are limited, before it precedes others
/// with one task.
const MAX_STARVATION: Duration = Duration::from_millis(2_200);

/// Maximum lateness of a job that is still of use, as a multiple of the time allowed for it:
/// callers give up at about that time.
const LATE_FACTOR: u32 = 2;

/// Time after which a task that only suspended instances can take is placed on one of them.
const LAST_RESORT_DELAY: Duration = Duration::from_secs(1);

/// Time after which a job is tried again that found no place although half of its pool was free.
const UNFIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Cost of placing a task where its job has just failed, in millicores: such that a second without
/// another failure outweighs any difference in free CPU.
const MAX_FAILURE_COST: f64 = 4.0 * PENALTY as f64;

/// Time for which a job avoids an instance where it has failed.
const AVOID_TIME: Duration = Duration::from_secs(10);

/// Maximum time for which a ready task waits for another instance than those where its job has
/// failed: longer than a job waits before it tries suspended instances.
const MAX_AVOID_WAIT: Duration = Duration::from_millis(2_300);

/// Cost of an unfavourable placement, in millicores: so high that it is chosen only if there is no
/// better one.
const PENALTY: i64 = 1_000_000;

/// Order in which jobs are placed, lowest first: starved ones, then by class, by the priority of the
/// queue, and by latest start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether nothing of the job has run for long, so that one of its tasks is placed first.
    starved: Reverse<bool>,
    pub(super) class: Class,
    priority: u32,
    /// Latest start with which the job can be on time.
    latest_start: Time,
    id: Id,
}

/// Why a task can't be placed on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub(super) enum Obstacle {
    /// The instance takes no new tasks.
    #[display("{_0}")]
    Closed(Closure),
    /// It is too small, or lacks the label that the task requires.
    #[display("unfit")]
    Unfit,
    /// Other tasks leave too little room.
    #[display("no-room")]
    NoRoom,
    /// The job has failed or hung there lately.
    #[display("avoided")]
    Avoided,
    /// As many tasks of the step run there as may.
    #[display("anti-affinity")]
    AntiAffinity,
}

/// How useful finishing a job can still be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// It is long-running: any time in which it does not run is downtime.
    LongRunning,
    /// It can be on time.
    OnTime,
    /// It can only be late, but is still of use.
    Late,
    /// It is too late to be of use, but has to finish.
    Overdue,
}

impl Core {
    /// Places ready tasks on instances.
    pub fn place_tasks(&mut self, now: Time) {
        let mut ranks: Vec<Rank> = Vec::new();
        let mut without_ready = Vec::new();
        for id in &self.schedulable {
            match self.jobs.get(id).and_then(|job| self.rank(now, job)) {
                Some(rank) => ranks.push(rank),
                None => without_ready.push(*id),
            }
        }
        for id in without_ready {
            self.schedulable.remove(&id);
        }
        if ranks.is_empty() {
            return;
        }
        ranks.sort_unstable();
        self.readmit_suspended(now);
        let unsent = self.count_unsent();
        self.free_starts = self.start_limit.free(unsent);
        let mut unplaced: std::collections::BTreeMap<String, u32> =
            std::collections::BTreeMap::new();
        let writes_lag = self.writes_lag() && !self.starts_unrecorded(now);
        for rank in ranks {
            if self.free_starts == 0 {
                self.start_limit.hold_back(now);
                return;
            }
            if writes_lag && rank.class > Class::LongRunning {
                return;
            }
            if self.may_have_unknown_starts(now, rank.id) {
                continue;
            }
            let service = self.jobs[&rank.id].service.clone();
            if unplaced.get(&service).is_some_and(|&unplaced| unplaced >= MAX_UNPLACED_JOBS) {
                continue;
            }
            if now < self.jobs[&rank.id].retry_at {
                continue;
            }
            if !self.place_job(now, rank) {
                self.defer_unfit(now, rank.id, &service);
                *unplaced.entry(service).or_default() += 1;
            }
        }
    }

    /// Puts a job off that found no place although half of its pool is free.
    ///
    /// Handles jobs that fit on no instance, whatever is free: they must not keep the pool's other
    /// jobs from being tried.
    fn defer_unfit(&mut self, now: Time, id: Id, service: &str) {
        if self.free_starts == 0 {
            return;
        }
        let pool = self.pools.get(service).into_iter().flatten();
        let open = pool.map(|&key| self.instance(key)).filter(|it| it.accepts_tasks(now));
        let (used, total) = open.fold((0, 0), |(used, total), instance| {
            (used + instance.used.cpu, total + instance.report.capacity.cpu)
        });
        if used * 2 < total
            && let Some(job) = self.jobs.get_mut(&id)
        {
            job.retry_at = now + UNFIT_RETRY_DELAY;
        }
    }

    /// Number of placed tasks whose start commands are not handed out yet. Only jobs that wait for a
    /// write have such tasks.
    fn count_unsent(&self) -> usize {
        let waiting = self.dirty.iter().chain(self.writing.iter().copied());
        let jobs = waiting.filter_map(|entry| self.jobs.get(&entry.id));
        let unsent = |task: &&Task| matches!(task.phase, Phase::Planned(_) | Phase::Recording(_));
        jobs.map(|job| job.tasks.iter().filter(unsent).count()).sum()
    }

    /// The rank of a job; None if it has no ready task.
    ///
    /// Handles a pool with more work than capacity: jobs that can't be on time yield to those that
    /// can.
    pub(super) fn rank(&self, now: Time, job: &Job) -> Option<Rank> {
        let ready = job.tasks.iter().position(|task| task.phase == Phase::Ready)?;
        let step = job.task_name(ready as u32).step as usize;
        let critical_path = self.critical_path_from(job, step);
        let start = job.occurrence_start(job.task_name(ready as u32).occurrence);
        let allowed = job.deadline.since(job.first_start);
        let latest_start = start + allowed - critical_path;
        let latest_start = latest_start - self.required_slack(now, job, critical_path, allowed);
        let is_ready = |task: &&Task| task.phase == Phase::Ready;
        let ready_count = job.tasks.iter().filter(is_ready).count();
        let latest_start = latest_start - self.start_limit.start_time(now, ready_count);
        let class = if job.spec.is_long_running() {
            Class::LongRunning
        } else if latest_start >= now {
            Class::OnTime
        } else if latest_start + allowed * LATE_FACTOR >= now {
            Class::Late
        } else {
            Class::Overdue
        };
        let priority = self.config.queues.get(&job.queue).map_or(u32::MAX, |queue| queue.priority);
        let starved = Reverse(self.is_starved(now, job));
        Some(Rank { starved, class, priority, latest_start, id: job.id })
    }

    /// Whether nothing of a job has run for long because starts are limited.
    ///
    /// Handles a leader that starts fewer tasks than become ready: late jobs yield to those that can
    /// be on time, but each accepted job has to go on.
    fn is_starved(&self, now: Time, job: &Job) -> bool {
        if !self.start_limit.holds_back(now) || job.spec.is_long_running() {
            return false;
        }
        let is_ready = |task: &Task| task.phase == Phase::Ready;
        let assigned = |task: &Task| task.phase.instance().is_some();
        now.since(job.ran_at) >= MAX_STARVATION
            && job.tasks.iter().any(is_ready)
            && !job.tasks.iter().any(assigned)
    }

    /// Slack that a job needs to count as able to be on time. While this leader can't keep up, it is
    /// what jobs of the queue take beyond their critical paths.
    ///
    /// Handles a leader with more work than it can do: commands, reports of ends and writes take long,
    /// and a job that ends just too late would keep others from being on time.
    fn required_slack(
        &self,
        now: Time,
        job: &Job,
        critical_path: Duration,
        allowed: Duration,
    ) -> Duration {
        let least = critical_path.mul_f64(MIN_SLACK_SHARE);
        if self.start_limit.rate(now).is_none() {
            return least;
        }
        let learnt = self.estimators.get(&job.queue).map_or(0.0, Estimator::overhead);
        let most = allowed.saturating_sub(self.critical_path(job)).mul_f64(MAX_SLACK_SHARE);
        critical_path.mul_f64(learnt).min(most).max(least)
    }

    /// Places as many ready tasks of a job as possible; returns whether all were placed.
    fn place_job(&mut self, now: Time, rank: Rank) -> bool {
        let id = rank.id;
        if let Some(job) = self.jobs.get(&id)
            && job.first_placed.is_none()
        {
            let critical_path = self.critical_path(job);
            let on_time = rank.class == Class::OnTime;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.first_placed = Some(FirstPlaced { at: now, critical_path, on_time });
            }
        }
        let job = &self.jobs[&id];
        let ready: Vec<u32> = (0..job.tasks.len() as u32)
            .filter(|&index| job.tasks[index as usize].phase == Phase::Ready)
            .collect();
        let mut all_placed = true;
        let mut next = 0;
        while next < ready.len() {
            if rank.starved.0 && next > 0 {
                break;
            }
            let name = self.jobs[&id].task_name(ready[next]);
            let job = &self.jobs[&id];
            let members = job.members(name.occurrence, name.step as usize);
            let same_step = ready[next..].iter().take_while(|&&i| members.contains(&(i as usize)));
            let mut group: Vec<u32> = same_step.copied().collect();
            if rank.starved.0 && !job.step(group[0]).gang {
                group.truncate(1);
            }
            next += group.len();
            all_placed &= self.place_group(now, id, &group);
        }
        all_placed
    }

    /// Places ready tasks of one step; returns whether all were placed.
    fn place_group(&mut self, now: Time, id: Id, group: &[u32]) -> bool {
        let job = &self.jobs[&id];
        let step = job.step(group[0]);
        if step.gang {
            return self.place_gang(now, id, group);
        }
        let mut all_placed = true;
        for &index in group {
            if self.free_starts == 0 {
                return false;
            }
            match self.pick_instance(now, id, index) {
                Some(key) => self.assign(now, TaskKey { job: id, index }, key, None),
                // Another task may have waited long enough to run where the job has failed.
                None if !self.jobs[&id].failed_on.is_empty() => all_placed = false,
                None => return false,
            }
        }
        all_placed
    }

    /// Places a gang as a whole or not at all, once all its members are ready. Members share the
    /// run number and resume from the same checkpoint.
    fn place_gang(&mut self, now: Time, id: Id, group: &[u32]) -> bool {
        let job = &self.jobs[&id];
        let name = job.task_name(group[0]);
        let members = job.members(name.occurrence, name.step as usize);
        if group.len() < members.len() {
            return false;
        }
        let run = members.clone().map(|index| job.tasks[index].run).max().unwrap_or(0) + 1;
        let best_checkpoint =
            members.clone().map(|index| &job.tasks[index].checkpoint).max().cloned();
        let mut placed = Vec::new();
        for &index in group {
            let Some(instance) = self.pick_instance(now, id, index) else {
                placed.into_iter().for_each(|(key, instance)| self.unbook(key, instance));
                return false;
            };
            // The next members are placed beside it.
            let key = TaskKey { job: id, index };
            let step = self.jobs[&id].step(index).clone();
            self.instance_mut(instance).book(key, &step, true);
            placed.push((key, instance));
        }
        for (key, instance) in placed {
            self.assign(now, key, instance, Some(run));
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            for index in members {
                job.tasks[index].checkpoint = best_checkpoint.clone().unwrap_or_default();
            }
        }
        true
    }

    /// Frees what was booked for a task that is not assigned.
    fn unbook(&mut self, key: TaskKey, instance: instance::Key) {
        let step = self.jobs[&key.job].step(key.index).clone();
        self.instance_mut(instance).book(key, &step, false);
    }

    /// Assigns a task to an instance as run number `run`, by default the one after its last.
    fn assign(&mut self, now: Time, key: TaskKey, instance: instance::Key, run: Option<u32>) {
        let incarnation = self.instance(instance).incarnation;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        self.free_starts = self.free_starts.saturating_sub(1);
        let waited = now.since(task.since);
        task.run = run.unwrap_or(task.run + 1);
        task.phase = Phase::Planned(instance);
        task.since = now;
        task.incarnation = incarnation;
        let step = &job.spec.steps[name.step as usize];
        let target = &mut self.instances[u32::from(instance) as usize];
        target.book(key, step, true);
        info!(
            event = "place",
            task = %name,
            run = job.tasks[key.index as usize].run,
            runner = target.report.id,
            waited_ms = waited.as_millis(),
            slack_ms = job.deadline.since(now).as_millis(),
            used_cpu = target.used.cpu,
            looked_ms_ago = now.since(target.answered_at).as_millis(),
        );
        self.dirty.insert(key.job);
    }

    /// The instance with the lowest cost for a task; None if no instance can take it.
    fn pick_instance(&self, now: Time, id: Id, index: u32) -> Option<instance::Key> {
        let job = &self.jobs[&id];
        let step = job.step(index);
        let pool = self.pools.get(&job.service)?;
        let siblings = job.siblings(index);
        let mut best: Option<(i64, instance::Key)> = None;
        let mut any_busy = false;
        let mut suspended = Vec::new();
        for &key in pool {
            match self.obstacle(now, job, index, key) {
                None => {}
                Some(Obstacle::NoRoom | Obstacle::Closed(Closure::Full)) => {
                    any_busy = true;
                    continue;
                }
                Some(Obstacle::Closed(Closure::Suspended | Closure::Probation)) => {
                    suspended.push(key);
                    continue;
                }
                Some(_) => continue,
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
                + self.placement_cost(now, instance, job, step, &siblings);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        match best {
            Some((_, key)) => Some(key),
            None if any_busy => None,
            None => self.pick_suspended(now, job, index, &suspended),
        }
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
        if instance.trust.readmitted && !self.may_try_suspended(now, job, index) {
            return Some(Obstacle::Closed(Closure::Suspended));
        }
        let waited = now.since(job.tasks[index as usize].since);
        if waited < MAX_AVOID_WAIT && self.avoids(now, job, key) {
            return Some(Obstacle::Avoided);
        }
        self.mismatch(job, index, key)
    }

    /// Whether a job avoids an instance of its pool, since it has failed there lately.
    fn avoids(&self, now: Time, job: &Job, key: instance::Key) -> bool {
        let failed_at = job.failed_on.get(&key);
        failed_at.is_some_and(|&at| now.since(at) < AVOID_TIME)
            && self.pools.get(&job.service).is_some_and(|pool| pool.len() > 1)
    }

    /// Why a task can't be placed on an instance even if the instance takes tasks; None if it can.
    fn mismatch(&self, job: &Job, index: u32, key: instance::Key) -> Option<Obstacle> {
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
    ) -> i64 {
        let free_cpu = instance.report.capacity.cpu - instance.used.cpu - step.booked_cpu();
        let mut cost = free_cpu as i64;
        if !step.affinity.is_empty() && !instance.report.labels.contains(&step.affinity) {
            cost += PENALTY;
        }
        let distrusted = instance.trust.is_suspended(now) || instance.trust.is_on_probation(now);
        if instance.trust.failures() > 0 || distrusted {
            cost += PENALTY;
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

    /// Expected duration of a task of a step.
    pub(super) fn task_duration(&self, job: &Job, step: &Step) -> Duration {
        self.expected_duration(&job.queue, step.estimate_ms)
    }
}

/// Cost of placing a task on an instance where its job has failed or not been started, higher the
/// less time has passed since. So a job that fails on several instances tries each of them in turn.
fn failure_cost(now: Time, job: &Job, key: instance::Key) -> i64 {
    let Some(&at) = job.failed_on.get(&key).max(job.not_started_on.get(&key)) else { return 0 };
    let left = AVOID_TIME.saturating_sub(now.since(at)).div_duration_f64(AVOID_TIME);
    (left * MAX_FAILURE_COST) as i64
}
