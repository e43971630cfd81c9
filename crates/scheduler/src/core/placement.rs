//! Where tasks are placed, and in which order.

use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::instance::Instance;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Step;
use crate::job::TaskKey;

/// Jobs of a pool that may fail to find room before the rest of the pool's jobs wait too: bounds
/// the work of a plan when a pool is full.
const MAX_UNPLACED_JOBS: u32 = 12;

/// Share of its time that a job must have to spare to count as able to be on time: orders, ends and
/// writes between its steps take some, and guesses are rough. Work that ends just too late would
/// keep others from being on time.
const SLACK_SHARE: f64 = 0.1;

/// How much later than its due time, as a multiple of the time allowed, a job is still of some use:
/// callers give up about then.
const LATE_FACTOR: u32 = 2;

/// Thousandths of a core that a poorer place is worth, so that it is taken only for want of others.
const PENALTY: i64 = 1_000_000;

/// When a job's turn comes: lasting work first, then what can be on time by its latest start, then
/// what is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: Class,
    priority: u32,
    latest_start: Time,
    id: Id,
}

/// What can still be had from a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// It lasts: each moment of it counts.
    LongRunning,
    /// It can be on time.
    OnTime,
    /// It can be late, but of use.
    Late,
    /// It only has to end.
    Overdue,
}

impl Core {
    /// Gives places to tasks that wait for one.
    pub fn place_tasks(&mut self, now: Time) {
        let mut turns: Vec<Rank> = Vec::new();
        let mut sated = Vec::new();
        for id in &self.schedulable {
            match self.jobs.get(id).and_then(|job| self.rank(now, job)) {
                Some(turn) => turns.push(turn),
                None => sated.push(*id),
            }
        }
        for id in sated {
            self.schedulable.remove(&id);
        }
        turns.sort_unstable();
        let mut misses: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
        for turn in turns {
            if self.may_miss_starts(now, turn.id) {
                continue;
            }
            let service = self.jobs[&turn.id].service.clone();
            if misses.get(&service).is_some_and(|&misses| misses >= MAX_UNPLACED_JOBS) {
                continue;
            }
            if !self.place_job(now, turn.id) {
                *misses.entry(service).or_default() += 1;
            }
        }
    }

    /// Answers a pool with more work than room: what can't be on time yields to what can.
    pub(super) fn rank(&self, now: Time, job: &Job) -> Option<Rank> {
        let ready = job.tasks.iter().position(|task| task.phase == Phase::Ready)?;
        let step = job.task_name(ready as u32).step as usize;
        let tail = self.critical_path_from(job, step);
        let start = job.occurrence_start(job.task_name(ready as u32).occurrence);
        let allowed = job.deadline.since(job.first_start);
        let latest = start + allowed - tail;
        let latest = latest - tail.mul_f64(SLACK_SHARE);
        let class = if job.spec.is_long_running() {
            Class::LongRunning
        } else if latest >= now {
            Class::OnTime
        } else if latest + allowed * LATE_FACTOR >= now {
            Class::Late
        } else {
            Class::Overdue
        };
        let priority = self.config.queues.get(&job.queue).map_or(u32::MAX, |queue| queue.priority);
        Some(Rank { class, priority, latest_start: latest, id: job.id })
    }

    /// Places what it can of a job; whether that was all.
    fn place_job(&mut self, now: Time, id: Id) -> bool {
        let job = &self.jobs[&id];
        let ready: Vec<u32> = (0..job.tasks.len() as u32)
            .filter(|&index| job.tasks[index as usize].phase == Phase::Ready)
            .collect();
        let mut all = true;
        let mut next = 0;
        while next < ready.len() {
            let name = self.jobs[&id].task_name(ready[next]);
            let job = &self.jobs[&id];
            let members = job.members(name.occurrence, name.step as usize);
            let until = ready[next..].iter().take_while(|&&i| members.contains(&(i as usize)));
            let group: Vec<u32> = until.copied().collect();
            next += group.len();
            all &= self.place_group(now, id, &group);
        }
        all
    }

    /// Places ready tasks of one step.
    fn place_group(&mut self, now: Time, id: Id, group: &[u32]) -> bool {
        let job = &self.jobs[&id];
        let step = job.step(group[0]);
        if step.gang {
            return self.place_gang(now, id, group);
        }
        for &index in group {
            let Some(key) = self.pick_instance(now, id, index) else { return false };
            self.assign(now, TaskKey { job: id, index }, key, None);
        }
        true
    }

    /// Places a gang whole or not at all, once no member is out any more.
    fn place_gang(&mut self, now: Time, id: Id, group: &[u32]) -> bool {
        let job = &self.jobs[&id];
        let name = job.task_name(group[0]);
        let members = job.members(name.occurrence, name.step as usize);
        if group.len() < members.len() {
            return false;
        }
        let run = members.clone().map(|index| job.tasks[index].run).max().unwrap_or(0) + 1;
        let best = members.clone().map(|index| &job.tasks[index].checkpoint).max().cloned();
        let mut placed = Vec::new();
        for &index in group {
            let Some(key) = self.pick_instance(now, id, index) else {
                for task in placed {
                    self.unassign(now, task);
                }
                return false;
            };
            let task = TaskKey { job: id, index };
            self.assign(now, task, key, Some(run));
            placed.push(task);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            for index in members {
                job.tasks[index].checkpoint = best.clone().unwrap_or_default();
            }
        }
        true
    }

    fn assign(&mut self, now: Time, key: TaskKey, runner: instance::Key, run: Option<u32>) {
        let born = self.instance(runner).incarnation;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let task = &mut job.tasks[key.index as usize];
        let waited = now.since(task.since);
        task.run = run.unwrap_or(task.run + 1);
        task.phase = Phase::Planned(runner);
        task.since = now;
        task.incarnation = born;
        let step = &job.spec.steps[name.step as usize];
        let entity = &mut self.instances[u32::from(runner) as usize];
        entity.book(key, step, true);
        info!(
            event = "place",
            task = %name,
            run = job.tasks[key.index as usize].run,
            runner = entity.report.id,
            waited_ms = waited.as_millis(),
            slack_ms = job.deadline.since(now).as_millis(),
            used_cpu = entity.used.cpu,
            looked_ms_ago = now.since(entity.answered_at).as_millis(),
        );
        self.dirty.insert(key.job);
    }

    /// The best place for a task.
    fn pick_instance(&self, now: Time, id: Id, index: u32) -> Option<instance::Key> {
        let job = &self.jobs[&id];
        let name = job.task_name(index);
        let step = job.step(index);
        let task = &job.tasks[index as usize];
        let pool = self.pools.get(&job.service)?;
        let start = job.first_index(name.occurrence, name.step as usize);
        let siblings =
            TaskKey { job: id, index: start }..TaskKey { job: id, index: start + step.count };
        let mut best: Option<(i64, instance::Key)> = None;
        for &key in pool {
            let runner = self.instance(key);
            if !runner.accepts_tasks(now) || !runner.fits(step) || !runner.has_room(step) {
                continue;
            }
            if task.avoid == Some(key) && pool.len() > 1 {
                continue;
            }
            let here = runner.tasks.range(siblings.clone()).count() as u32;
            if step.anti_affinity > 0 && here >= step.anti_affinity {
                continue;
            }
            // Ending the work of one machine must not take away more of a step than it may miss.
            let crowded =
                step.long_running && step.max_unavailable > 0 && here >= step.max_unavailable;
            let score = i64::from(crowded) * PENALTY
                + self.placement_cost(now, runner, job, step, &siblings);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// How poor a place is; packs what ends on the fullest instances, so that others stay empty
    /// and can change their pool.
    fn placement_cost(
        &self,
        _now: Time,
        runner: &Instance,
        job: &Job,
        step: &Step,
        siblings: &std::ops::Range<TaskKey>,
    ) -> i64 {
        let left = runner.report.capacity.cpu - runner.used.cpu - step.booked_cpu();
        let mut score = left as i64;
        if !step.affinity.is_empty() && !runner.report.labels.contains(&step.affinity) {
            score += PENALTY;
        }
        if runner.failures > 0 || runner.on_probation {
            score += PENALTY;
        }
        if step.same_rack {
            let first = self.first_rack(job, siblings);
            if first.is_some_and(|rack| rack != runner.rack()) {
                score += PENALTY;
            }
        }
        if step.long_running {
            score += self.long_running_cost(runner, step, job, siblings);
        }
        score
    }

    fn first_rack(&self, job: &Job, siblings: &std::ops::Range<TaskKey>) -> Option<&str> {
        let range = siblings.start.index as usize..siblings.end.index as usize;
        let placed = job.tasks[range].iter().find_map(|task| task.phase.instance());
        placed.map(|key| self.instance(key).rack())
    }

    /// Keeps lasting work on few machines that stay, in different racks, and apart from what it
    /// disturbs.
    fn long_running_cost(
        &self,
        runner: &Instance,
        step: &Step,
        job: &Job,
        siblings: &std::ops::Range<TaskKey>,
    ) -> i64 {
        let mut score = 0;
        let mut lasting = false;
        for other in &runner.tasks {
            let Some(other_job) = self.jobs.get(&other.job) else { continue };
            let other_step = other_job.step(other.index);
            lasting |= other_step.long_running;
            let serves = step.target_ms > 0 || other_step.target_ms > 0;
            if other_step.best_effort != step.best_effort && serves {
                score += PENALTY;
            }
        }
        if !lasting {
            score += PENALTY / 4;
        }
        if self.awaits_maintenance(&runner.report.id) {
            score += PENALTY / 2;
        }
        let range = siblings.start.index as usize..siblings.end.index as usize;
        let racks = job.tasks[range].iter().filter_map(|task| task.phase.instance());
        let same = racks.filter(|&key| self.instance(key).rack() == runner.rack()).count();
        score + same as i64 * PENALTY / 8
    }

    /// Time that a task of a step should take.
    pub(super) fn task_duration(&self, job: &Job, step: &Step) -> Duration {
        self.expected_duration(&job.queue, step.estimate_ms)
    }
}
