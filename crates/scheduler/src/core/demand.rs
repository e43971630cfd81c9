//! Demand on each pool: arrival rate, expected durations of tasks, and backlog.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::rank::Class;
use super::share::Shares;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Task;
use crate::tenant::MIN_BURST;

/// Demand on a pool, and its capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// Remaining work of accepted jobs, in millicores times milliseconds.
    pub(super) backlog: f64,
    /// The part of it of jobs beyond the rates of their tenants.
    backlog_beyond_rate: f64,
    /// CPU booked by unfinished tasks of long-running jobs, in millicores.
    pub(super) long_running: f64,
    /// CPU that other tasks book, or need once they are placed, in millicores; those of late jobs are
    /// in `late`.
    pub(super) requested: f64,
    /// The same of late jobs, whose ready tasks are weighted by how useful the jobs still are.
    pub(super) late: f64,
    /// CPU of healthy instances, in millicores.
    pub(super) capacity: f64,
    /// CPU of instances that take new tasks, in millicores.
    pub(super) open: f64,
    /// Number of listed instances that are suspended.
    pub(super) suspended: usize,
    /// Number of listed instances on probation.
    pub(super) on_probation: usize,
    /// Number of listed instances whose runs have not been read, unresponsive ones apart.
    pub(super) unread: usize,
    /// Number of listed instances that are unresponsive or whose machines are being moved or
    /// maintained.
    pub(super) silent: usize,
    /// Number of listed instances whose machines are about to be moved or maintained.
    pub(super) reserved: usize,
    /// Arrivals of the last two windows: time, and work in millicores times milliseconds.
    arrivals: VecDeque<(Time, f64)>,
    /// Those of them that are owed to callers: not beyond the rate of their tenant.
    owed_arrivals: VecDeque<(Time, f64)>,
}

impl Pool {
    /// Rate at which work arrives, in millicores, averaged over the window up to `now`.
    pub(super) fn rate(&self, now: Time, window: Duration) -> f64 {
        self.rate_until(now, window)
    }

    /// Rate at which work arrived, in millicores, averaged over the window up to `end`.
    pub(super) fn rate_until(&self, end: Time, window: Duration) -> f64 {
        rate_of(&self.arrivals, end, window)
    }

    /// Rate at which owed work arrives, in millicores, averaged over the window up to `now`.
    pub(super) fn owed_rate(&self, now: Time, window: Duration) -> f64 {
        rate_of(&self.owed_arrivals, now, window)
    }

    /// CPU that long-running tasks leave to others, in millicores.
    pub(super) fn available(&self) -> f64 {
        (self.capacity - self.long_running).max(0.0)
    }
}

/// Rate at which work arrived, in millicores, averaged over the window up to `end`.
fn rate_of(arrivals: &VecDeque<(Time, f64)>, end: Time, window: Duration) -> f64 {
    let within = |at: Time| at <= end && end.since(at) <= window;
    let recent = arrivals.iter().filter(|(at, _)| within(*at));
    recent.map(|(_, work)| work).sum::<f64>() / window.as_millis() as f64
}

impl Core {
    /// Remaining work of a job without its long-running steps, in millicores times milliseconds. Of each
    /// task only what it can do within [`crate::Tuning::max_backlog`] counts: it can use no more of the
    /// pool in that time, however long it takes.
    pub(super) fn remaining_work(&self, job: &Job) -> f64 {
        let mut total = 0.0;
        for (index, unfinished) in job.unfinished.iter().enumerate() {
            total += self.work(job, index % job.step_count(), *unfinished);
        }
        total
    }

    /// The part of that of its ready tasks.
    fn ready_work(&self, job: &Job) -> f64 {
        let mut total = 0.0;
        for occurrence in 0..job.spec.occurrences() {
            for step in 0..job.step_count() {
                let tasks = &job.tasks[job.members(occurrence, step)];
                let ready = tasks.iter().filter(|task| task.phase == Phase::Ready).count();
                if ready > 0 {
                    total += self.work(job, step, ready as u32);
                }
            }
        }
        total
    }

    /// Work of some tasks of a step as in [`Self::remaining_work`]; zero if they are long-running.
    pub(super) fn work(&self, job: &Job, step: usize, tasks: u32) -> f64 {
        let step = &job.spec.steps[step];
        if step.long_running {
            return 0.0;
        }
        let duration = self.profiles.mean(&job.queue, &step.image, step.estimate_ms);
        let time_ms = duration.min(self.tuning.max_backlog).as_secs_f64() * 1_000.0;
        f64::from(tasks) * step.booked_cpu() as f64 * time_ms
    }

    /// Records the work of a job that has been accepted.
    pub(super) fn record_arrival(&mut self, now: Time, job: &Job) {
        if job.spec.is_long_running() {
            return;
        }
        let work = self.remaining_work(job);
        let has_tenants = self.config.tenants.is_some();
        if has_tenants {
            self.expect_share(job, work);
        }
        let window = self.tuning.demand_window;
        let pool = self.demand.entry(job.service.clone()).or_default();
        pool.backlog += work;
        if job.beyond_rate {
            pool.backlog_beyond_rate += work;
        }
        pool.arrivals.push_back((now, work));
        if has_tenants && !job.beyond_rate {
            pool.owed_arrivals.push_back((now, work));
        }
        for arrivals in [&mut pool.arrivals, &mut pool.owed_arrivals] {
            while arrivals.front().is_some_and(|(at, _)| now.since(*at) > window * 2) {
                arrivals.pop_front();
            }
        }
    }

    /// Recomputes the demand on each pool and its capacity.
    pub(super) fn update_demand(&mut self, now: Time) {
        for pool in self.demand.values_mut() {
            pool.backlog = 0.0;
            pool.backlog_beyond_rate = 0.0;
            pool.long_running = 0.0;
            pool.requested = 0.0;
            pool.late = 0.0;
            pool.capacity = 0.0;
            pool.open = 0.0;
            pool.suspended = 0;
            pool.on_probation = 0;
            pool.unread = 0;
            pool.silent = 0;
            pool.reserved = 0;
        }
        self.unstarted = 0;
        let startable_shares = self.startable_shares(now);
        self.unstarted_beyond_rate = 0;
        let has_tenants = self.config.tenants.is_some();
        let mut shares = Shares::default();
        for id in &self.active {
            let job = &self.jobs[id];
            if !job.spec.is_long_running() && job.spec.repeats == 0 {
                let waits = |task: &&Task| matches!(task.phase, Phase::Waiting | Phase::Ready);
                let unstarted = job.tasks.iter().filter(waits).count();
                self.unstarted += unstarted;
                if job.beyond_rate {
                    self.unstarted_beyond_rate += unstarted;
                }
            }
            let remaining_work = self.remaining_work(job);
            let startable = job.tenant.and_then(|tenant| startable_shares.get(&tenant));
            let startable = startable.copied().unwrap_or(1.0);
            let long_running = long_running_cpu(job, startable);
            let rank = self.rank(now, job);
            let class = match rank {
                Some(rank) => Some(rank.class),
                // All of its tasks are placed or wait for others.
                None if now > job.deadline && job.spec.repeats == 0 => Some(Class::Late),
                None => None,
            };
            if has_tenants {
                let ready = rank.map(|rank| (rank, self.ready_work(job)));
                shares.add(job, self.weight(job.tenant), remaining_work, ready);
            }
            let (requested, late) = requested_cpu(job, class, startable);
            let pool = self.demand.entry(job.service.clone()).or_default();
            pool.backlog += remaining_work;
            if job.beyond_rate {
                pool.backlog_beyond_rate += remaining_work;
            }
            pool.long_running += long_running;
            pool.requested += requested;
            pool.late += late;
        }
        self.count_starts(now);
        self.count_backlogs(now);
        for instance in &self.instances {
            if !instance.listed {
                continue;
            }
            let pool = self.demand.entry(instance.report.service.clone()).or_default();
            let cpu = instance.report.capacity.cpu as f64;
            if instance.is_healthy(now) && !instance.reserved {
                pool.capacity += cpu;
            }
            if instance.accepts_tasks(now) {
                pool.open += cpu;
            }
            pool.suspended += usize::from(instance.trust.is_suspended(now));
            pool.on_probation += usize::from(instance.trust.is_on_probation(now));
            let silent = instance.unresponsive_since.is_some();
            pool.unread += usize::from(!instance.synced && !silent);
            pool.silent += usize::from(silent);
            pool.reserved += usize::from(instance.reserved && !silent);
        }
        shares.finish(&self.demand);
        self.shares = shares;
    }

    /// Number of tasks of accepted jobs that were not placed at the last tick, those of long-running
    /// and repeated jobs apart.
    pub const fn unstarted_tasks(&self) -> usize {
        self.unstarted
    }

    /// Time that this leader takes to start all tasks of accepted jobs that precede a new one, whatever
    /// limits it, at most an hour; zero while its rounds of placement try all jobs.
    pub(super) fn held_back_time(&self, now: Time, beyond_rate: bool) -> Duration {
        let yielding = if beyond_rate { 0 } else { self.unstarted_beyond_rate };
        self.start_limit.cut_time(now, self.unstarted.saturating_sub(yielding))
    }

    /// Time in which its pool can work off what precedes a new job, at most an hour, as far as it is over
    /// [`crate::Tuning::max_backlog`]. The backlog of other tenants does not precede it for longer than its
    /// tenant's share of the pool takes to work off what the tenant itself has sent, as many such jobs apart as
    /// any tenant may send at once.
    pub(super) fn backlog_excess(&self, job: &Job) -> Duration {
        let service = job.service.as_str();
        let Some(pool) = self.demand.get(service) else { return Duration::ZERO };
        let yielding = if job.beyond_rate { 0.0 } else { pool.backlog_beyond_rate };
        let excess = |cpu: f64| {
            let backlog = (pool.backlog - yielding).max(0.0);
            let seconds = (backlog / cpu.max(1_000.0) / 1_000.0).clamp(0.0, 3_600.0);
            Duration::from_secs_f64(seconds).saturating_sub(self.tuning.max_backlog)
        };
        // Machines that are on their way are looked up only where they make a difference.
        let available = pool.available();
        if excess(available).is_zero() {
            return Duration::ZERO;
        }
        let excess = excess(available + self.incoming_cpu(service));
        match job.tenant.filter(|_| !job.beyond_rate) {
            Some(tenant) if self.weight(job.tenant).is_some() => {
                let burst = self.remaining_work(job) * MIN_BURST;
                let own = self.shares.own_backlog_time(service, tenant, burst);
                excess.min(own.saturating_sub(self.tuning.max_backlog))
            }
            _ => excess,
        }
    }
}

/// CPU booked by the unfinished tasks of a long-running job, in millicores, of whose ready tasks the share
/// `startable` may start; zero for other jobs.
fn long_running_cpu(job: &Job, startable: f64) -> f64 {
    if !job.spec.is_long_running() {
        return 0.0;
    }
    let tasks = job.tasks.iter().enumerate().filter(|(_, task)| task.phase != Phase::Done);
    let cpu = |(index, task): (usize, &Task)| {
        let share = if task.phase == Phase::Ready { startable } else { 1.0 };
        job.step(index as u32).booked_cpu() as f64 * share
    };
    tasks.map(cpu).sum()
}

/// CPU that a job's tasks other than long-running ones book, or need once they are placed, in
/// millicores: first of a job that can be on time, then of a late one, whose ready tasks are weighted
/// by how useful it still is. Of the ready tasks the share `startable` may start.
///
/// Handles a pool whose backlog is late already, or beyond the rates of tenants: it must not take machines
/// that a pool whose work can be on time needs.
fn requested_cpu(job: &Job, class: Option<Class>, startable: f64) -> (f64, f64) {
    let (weight, late_weight) = match class {
        None | Some(Class::LongRunning) => (0.0, 0.0),
        Some(Class::OnTime) => (1.0, 0.0),
        Some(Class::Late | Class::BeyondRate | Class::LateBeyondRate) => (0.0, LATE_WEIGHT),
        Some(Class::Overdue) => (0.0, OVERDUE_WEIGHT),
    };
    let (mut requested, mut late) = (0.0, 0.0);
    let steps = job.spec.steps.iter().cycle();
    let mut rest = job.tasks.as_slice();
    for step in steps {
        if rest.is_empty() {
            break;
        }
        let (members, after) = rest.split_at(step.count as usize);
        rest = after;
        if step.long_running {
            continue;
        }
        let cpu = step.booked_cpu() as f64;
        for task in members {
            match task.phase {
                Phase::Waiting | Phase::Done => {}
                Phase::Ready => {
                    requested += cpu * weight * startable;
                    late += cpu * late_weight * startable;
                }
                _ if late_weight > 0.0 => late += cpu,
                _ => requested += cpu,
            }
        }
    }
    (requested, late)
}

/// Weight of late work in the CPU requested for a pool: its value to callers, where work on time
/// has 1.
const LATE_WEIGHT: f64 = 0.3;

/// Weight of overdue work, which only has to finish.
const OVERDUE_WEIGHT: f64 = 0.1;
