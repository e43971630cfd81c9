//! Decides whether a new job can be on time beside the work that has been accepted.
//!
//! Handles more work than this leader can start: what is accepted beyond that ends late, and makes
//! the jobs after it late as well. Each step of an accepted job has a latest start with which the job
//! can be on time. A new job is accepted if all starts that are due before its own fit into the time
//! until then, at the rate at which this leader starts tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::rank::Class;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::State;

/// Share of the starts that late jobs have while others can be on time: each accepted job has to end.
pub(super) const LATE_SHARE: f64 = 0.3;

/// Width of the intervals of latest starts within which starts are added up.
const SLOT: Duration = Duration::from_millis(50);

/// Wait for a start up to which no job is rejected, however little slack it has.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Share of the time until the latest start that the starts ahead may take: the rate of starts varies, and
/// jobs that all end just too late would keep each other from being on time.
const MAX_WAIT_SHARE: f64 = 0.7;

/// Maximum time that late jobs may take to start in their share of the starts; further ones are rejected.
pub(super) const MAX_LATE_WAIT: Duration = Duration::from_secs(2);

/// Time for which a rejected job is remembered: longer than callers go on coming back.
const MEMORY: Duration = Duration::from_secs(30);

/// Maximum number of rejected jobs that are remembered.
const MAX_REJECTED: usize = 65_536;

/// Order in which starts are due: by priority of the queue, then by the interval of the latest start.
type Due = (u32, u64);

/// Starts that a job needs, and when each is due.
type Demand = Vec<(Due, usize)>;

/// Starts that accepted jobs wait for.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    /// Those of jobs that can be on time.
    on_time: BTreeMap<Due, usize>,
    /// Number of those of other jobs.
    late: usize,
    /// Number of those of jobs beyond the rates of their tenants, which yield to all of these.
    beyond_rate: usize,
    /// When all of these were last counted.
    counted_at: Time,
}

impl Admission {
    /// Adds the starts of a job, as those of a late one if any of them should have happened before `now`.
    fn add(&mut self, now: Time, demand: &Demand) {
        if is_late(now, demand) {
            self.late += starts(demand);
            return;
        }
        for &(due, starts) in demand {
            *self.on_time.entry(due).or_default() += starts;
        }
    }

    /// Time by which the starts of a late job would take longer than [`MAX_LATE_WAIT`]; zero if no other
    /// late job waits.
    fn late_delay(&self, demand: &Demand, rate: f64) -> Duration {
        if self.late == 0 {
            return Duration::ZERO;
        }
        let starts = (self.late + starts(demand)) as f64;
        Duration::from_secs_f64(starts / (rate * LATE_SHARE)).saturating_sub(MAX_LATE_WAIT)
    }

    /// Time by which starts of a job beyond its tenant's rate would be too late for it to be on time, after
    /// all others, with `rate` starts a second that each take `latency`.
    fn delay_beyond_rate(
        &self,
        now: Time,
        demand: &Demand,
        rate: f64,
        latency: Duration,
    ) -> Duration {
        let others = self.on_time.values().sum::<usize>() + self.late + self.beyond_rate;
        let started = now.since(self.counted_at).as_secs_f64() * rate;
        let starts = (others as f64 - started).max(0.0) + starts(demand) as f64;
        let wait = Duration::from_secs_f64(starts / rate);
        let first_due = demand.iter().map(|(due, _)| slot_start(*due)).min().unwrap_or(now);
        let allowed = first_due.since(now).mul_f64(MAX_WAIT_SHARE).max(MIN_WAIT);
        (wait + latency).saturating_sub(allowed)
    }

    /// Number of starts that are due at `due` or before.
    fn due_by(&self, due: Due) -> usize {
        self.on_time.range(..=due).map(|(_, starts)| starts).sum()
    }

    /// Time by which starts of a job would be too late for it to be on time, with `rate` starts a
    /// second that each take `latency`; zero if it can be on time.
    fn delay(&self, now: Time, demand: &Demand, rate: f64, latency: Duration) -> Duration {
        let rate = if self.late > 0 { rate * (1.0 - LATE_SHARE) } else { rate };
        // What has been started since the last count.
        let started = now.since(self.counted_at).as_secs_f64() * rate;
        let delay = |&(due, _): &(Due, usize)| {
            let own = demand.iter().filter(|(other, _)| *other <= due);
            let own: usize = own.map(|(_, starts)| starts).sum();
            let ahead = (self.due_by(due) as f64 - started).max(0.0);
            let wait = Duration::from_secs_f64((ahead + own as f64) / rate);
            let allowed = slot_start(due).since(now).mul_f64(MAX_WAIT_SHARE).max(MIN_WAIT);
            (wait + latency).saturating_sub(allowed)
        };
        demand.iter().map(delay).max().unwrap_or_default()
    }
}

/// Whether any of the starts should have happened before `now`.
fn is_late(now: Time, demand: &Demand) -> bool {
    demand.iter().any(|(due, _)| slot_start(*due) + SLOT <= now)
}

/// Number of starts.
fn starts(demand: &Demand) -> usize {
    demand.iter().map(|(_, starts)| starts).sum()
}

fn slot_start(due: Due) -> Time {
    Time::from_micros(due.1 * SLOT.as_micros() as u64)
}

/// Jobs that were rejected, and when each of them was first submitted.
///
/// Handles callers that come back: they have been waiting since then, so that those who can still be served
/// in time precede them.
#[derive(Clone, Debug, Default)]
pub(super) struct Rejected {
    submitted: BTreeMap<Id, Time>,
}

impl Rejected {
    /// When a job was first submitted, if it was rejected lately.
    pub(super) fn submitted(&self, id: Id) -> Option<Time> {
        self.submitted.get(&id).copied()
    }

    /// Records the rejection of a job that was submitted at `now`.
    pub(super) fn insert(&mut self, now: Time, id: Id) {
        if self.submitted.len() < MAX_REJECTED {
            self.submitted.entry(id).or_insert(now);
        }
    }

    /// Forgets a job that is not rejected any more.
    pub(super) fn remove(&mut self, id: Id) {
        self.submitted.remove(&id);
    }

    /// Forgets jobs whose callers have ceased to come back.
    fn forget_old(&mut self, now: Time) {
        self.submitted.retain(|_, at| now.since(*at) < MEMORY);
    }
}

impl Core {
    /// Counts the starts that accepted jobs wait for.
    pub(super) fn count_starts(&mut self, now: Time) {
        self.rejected.forget_old(now);
        let mut admission = Admission { counted_at: now, ..Admission::default() };
        let storing = self.unstored_jobs();
        let is_storing = |id: &Id| self.jobs.get(id).is_some_and(|job| job.state == State::Storing);
        let storing: Vec<Id> = storing.filter(is_storing).collect();
        for id in self.active.iter().chain(&storing) {
            let job = &self.jobs[id];
            if !is_limited(job) {
                continue;
            }
            if job.beyond_rate {
                admission.beyond_rate += starts(&self.demand(now, job));
                continue;
            }
            let on_time = match self.rank(now, job) {
                Some(rank) => rank.class == Class::OnTime,
                None => now <= job.deadline,
            };
            if on_time {
                admission.add(now, &self.demand(now, job));
            } else {
                admission.late += starts(&self.demand(now, job));
            }
        }
        self.admission = admission;
    }

    /// Counts the starts of a job that has just been accepted.
    pub(super) fn expect_starts(&mut self, now: Time, job: &Job) {
        if is_limited(job) {
            let demand = self.demand(now, job);
            if job.beyond_rate {
                self.admission.beyond_rate += starts(&demand);
            } else {
                self.admission.add(now, &demand);
            }
        }
    }

    /// Time by which a new job would be started too late to be on time, or for one that is late already,
    /// since its caller has come back or its time allowed is too short, by which it would wait too long;
    /// zero if it can be accepted.
    pub(super) fn start_delay(&self, now: Time, job: &Job) -> Duration {
        // The store holds a job before it is placed, its placements before they are started, and its end
        // before the caller is told.
        let latency = self.store_backlog_time() * 3 + self.start_limit.usual_latency();
        let (demand, rate) = (self.demand(now, job), self.start_limit.capacity());
        if job.beyond_rate {
            return self.admission.delay_beyond_rate(now, &demand, rate, latency);
        }
        if is_late(now, &demand) {
            return self.admission.late_delay(&demand, rate);
        }
        self.admission.delay(now, &demand, rate, latency)
    }

    /// The starts that a job still waits for.
    fn demand(&self, now: Time, job: &Job) -> Demand {
        let priority = job.terms(&self.config).priority;
        let allowed = job.deadline.since(job.first_start);
        let paths: Vec<Duration> =
            (0..job.step_count()).map(|step| self.critical_path_from(job, step)).collect();
        let whole = paths.iter().max().copied().unwrap_or_default();
        let mut demand = Demand::new();
        for (step, &critical_path) in paths.iter().enumerate() {
            let tasks = &job.tasks[job.members(0, step)];
            let waits = |phase: Phase| matches!(phase, Phase::Waiting | Phase::Ready);
            let starts = tasks.iter().filter(|task| waits(task.phase)).count();
            if starts > 0 {
                let slack = self.required_slack(now, job, critical_path, || whole, allowed);
                let latest_start = job.deadline - critical_path - slack;
                let slot = latest_start.as_micros() / SLOT.as_micros() as u64;
                demand.push(((priority, slot), starts));
            }
        }
        demand
    }
}

/// Whether a job is subject to admission by its starts: others start seldom, and can't come back
/// later.
fn is_limited(job: &Job) -> bool {
    !job.spec.is_long_running() && job.spec.repeats == 0
}
