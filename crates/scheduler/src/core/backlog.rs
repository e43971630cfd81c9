//! Decides whether a new job can be on time beside the work of its tenant that has been accepted, within the
//! tenant's cap.
//!
//! Handles a tenant that submits more than its cap lets run in time: what is accepted beyond that ends late, makes
//! the tenant's jobs after it late as well, and its caller would wait for nothing. Room on the instances is not
//! in it: it is that of the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::admission::MAX_LATE_WAIT;
use super::rank::Class;
use crate::config::Cap;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;
use crate::job::Step;
use crate::tenant;
use crate::tenant::Usage;
use crate::tenant::limited;

/// Width of the intervals of due times within which work is added up.
const SLOT: Duration = Duration::from_millis(50);

/// Longest time that work can take: if a cap leaves nothing for it, say.
const MAX_TIME: Duration = Duration::from_secs(3_600);

/// Work of tasks: what they use, times the seconds for which they use it.
#[derive(Clone, Copy, Debug, Default, PartialEq, derive_more::Add)]
struct Work {
    cpu: f64,
    memory: f64,
    accelerators: f64,
}

impl Work {
    /// Work of tasks of a step that take `time` in all.
    const fn of(step: &Step, time: Duration) -> Self {
        let seconds = time.as_secs_f64();
        Self {
            cpu: step.cpu as f64 * seconds,
            memory: step.memory as f64 * seconds,
            accelerators: step.accelerators as f64 * seconds,
        }
    }

    /// A multiple of it.
    const fn times(self, factor: f64) -> Self {
        Self {
            cpu: self.cpu * factor,
            memory: self.memory * factor,
            accelerators: self.accelerators * factor,
        }
    }

    /// Time that it takes at least within `cap`, of which `taken` is not available.
    fn time(self, cap: &Cap, taken: Usage) -> Duration {
        let time = |work: f64, limit: u64, taken: u64| match limit {
            0 => 0.0,
            _ if work <= 0.0 => 0.0,
            _ => work / limit.saturating_sub(taken) as f64,
        };
        let longest = time(self.cpu, cap.cpu, taken.cpu)
            .max(time(self.memory, cap.memory, taken.memory))
            .max(time(self.accelerators, cap.accelerators, taken.accelerators));
        Duration::from_secs_f64(longest.min(MAX_TIME.as_secs_f64()))
    }
}

/// Work of a job, and when it is due, in intervals.
type Demand = Vec<(u64, Work)>;

/// Work of a tenant that has been accepted.
#[derive(Clone, Debug, Default)]
struct Backlog {
    /// That of jobs that can be on time, by the interval in which it is due.
    by_due: BTreeMap<u64, Work>,
    /// That of all jobs that end by themselves.
    total: Work,
    /// What long-running tasks use.
    long_running: Usage,
}

impl Backlog {
    fn add(&mut self, demand: &Demand, on_time: bool) {
        for &(due, work) in demand {
            self.total = self.total + work;
            if on_time {
                let sum = self.by_due.entry(due).or_default();
                *sum = *sum + work;
            }
        }
    }
}

/// Work of each tenant with a cap that has been accepted.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlogs {
    by_tenant: BTreeMap<tenant::Key, Backlog>,
}

impl Core {
    /// Adds up the work that accepted jobs of tenants with caps wait for.
    pub(super) fn count_backlogs(&mut self, now: Time) {
        let mut backlogs = Backlogs::default();
        let is_storing = |id: &Id| self.jobs.get(id).is_some_and(|job| job.state == State::Storing);
        let storing: Vec<Id> = self.unstored_jobs().filter(is_storing).collect();
        for id in self.active.iter().chain(&storing) {
            let job = &self.jobs[id];
            let Some(tenant) = self.capped_tenant(job) else { continue };
            let backlog = backlogs.by_tenant.entry(tenant).or_default();
            if job.spec.is_long_running() {
                let placed = |index: &usize| job.tasks[*index].phase.instance().is_some();
                for index in (0..job.tasks.len()).filter(placed) {
                    let task = Usage::of(job.step(index as u32), 1);
                    backlog.long_running = backlog.long_running.plus(task);
                }
            } else if job.spec.repeats == 0 {
                let on_time = match self.rank(now, job) {
                    Some(rank) => matches!(rank.class, Class::OnTime | Class::BeyondRate),
                    None => now <= job.deadline,
                };
                backlog.add(&self.due_work(now, job), on_time);
            }
        }
        self.backlogs = backlogs;
    }

    /// Counts the work of a job that has just been accepted.
    pub(super) fn expect_work(&mut self, now: Time, job: &Job) {
        let Some(tenant) = self.capped_tenant(job) else { return };
        if job.spec.is_long_running() || job.spec.repeats > 0 {
            return;
        }
        let demand = self.due_work(now, job);
        let on_time = demand.iter().all(|&(due, _)| slot_start(due) > now);
        self.backlogs.by_tenant.entry(tenant).or_default().add(&demand, on_time);
    }

    /// Time by which a new job would be late because of what has been accepted of its tenant, or by which the work of
    /// its tenant would take longer than [`crate::Tuning::max_backlog`]; for a job that is late already, longer than
    /// [`MAX_LATE_WAIT`]. Zero if it can be accepted: what a job takes by itself within the cap is no reason.
    pub(super) fn cap_delay(&self, now: Time, job: &Job) -> Duration {
        let Some(tenant) = self.capped_tenant(job) else { return Duration::ZERO };
        let Some(backlog) = self.backlogs.by_tenant.get(&tenant) else { return Duration::ZERO };
        let cap = &self.tenants.get(tenant).cap;
        let time = |work: Work| work.time(cap, backlog.long_running);
        let demand = self.due_work(now, job);
        let own = |until: u64| {
            let due = demand.iter().filter(|(due, _)| *due <= until);
            due.fold(Work::default(), |sum, (_, work)| sum + *work)
        };
        let whole = own(u64::MAX);
        let excess = |longest: Duration| {
            time(backlog.total + whole).saturating_sub(longest.max(time(whole)))
        };
        let can_be_on_time = demand.iter().all(|&(due, _)| slot_start(due) > now);
        if !can_be_on_time {
            return excess(MAX_LATE_WAIT);
        }
        let late = |&(due, _): &(u64, Work)| {
            let ahead = backlog.by_due.range(..=due).map(|(_, work)| *work);
            let ahead = ahead.fold(Work::default(), |sum, work| sum + work);
            let own = own(due);
            let left = slot_start(due).since(now);
            let allowed = left.max(time(own));
            time(ahead + own + self.work_to_come(job, whole, left)).saturating_sub(allowed)
        };
        demand.iter().map(late).max().unwrap_or_default().max(excess(self.tuning.max_backlog))
    }

    /// Work that precedes a job beyond its tenant's rate although it is still to come in a time: jobs within the rate,
    /// each with as much work as this one.
    fn work_to_come(&self, job: &Job, work: Work, time: Duration) -> Work {
        let rate = self.weight(job.tenant).filter(|_| job.beyond_rate);
        rate.map_or(Work::default(), |rate| work.times(limited(rate) * time.as_secs_f64()))
    }

    /// Whether the cap of its tenant is too small for a gang of a job, which starts as a whole.
    pub(super) fn exceeds_cap(&self, job: &Job) -> bool {
        let Some(tenant) = self.capped_tenant(job) else { return false };
        let cap = &self.tenants.get(tenant).cap;
        let mut gangs = job.spec.steps.iter().filter(|step| step.gang);
        gangs.any(|step| {
            let (group, largest) = (Usage::of(step, u64::from(step.count)), Usage::of(step, 1));
            !cap.admits(Usage::default(), group, largest)
        })
    }

    /// The work that a job still waits for, and when it is due for the job to be on time.
    fn due_work(&self, now: Time, job: &Job) -> Demand {
        let allowed = job.deadline.since(job.first_start);
        let whole = || self.critical_path(job);
        let mut demand = Demand::new();
        for (index, step) in job.spec.steps.iter().enumerate() {
            let duration = self.task_duration(job, step);
            let members = &job.tasks[job.members(0, index)];
            let left: Duration = members
                .iter()
                .map(|task| match task.phase {
                    Phase::Done => Duration::ZERO,
                    Phase::Waiting | Phase::Ready => duration,
                    _ => duration.saturating_sub(now.since(task.since)),
                })
                .sum();
            if left.is_zero() {
                continue;
            }
            let critical_path = self.critical_path_from(job, index);
            let slack = self.required_slack(now, job, critical_path, whole, allowed);
            let due = job.deadline - critical_path - slack + duration;
            demand.push((due.as_micros() / SLOT.as_micros() as u64, Work::of(step, left)));
        }
        demand
    }
}

fn slot_start(slot: u64) -> Time {
    Time::from_micros(slot * SLOT.as_micros() as u64)
}
