//! Shares of tenants in pools that are too small for all.
//!
//! Handles a tenant that asks for much more than others within its rate: while a pool is too small, jobs
//! of tenants that use less of their shares precede the others of their class and priority, and a backlog
//! closes the door only for tenants whose own shares of the pool do not work off their part of it. Nothing
//! is saved up: a tenant that was idle precedes others no longer than one that was not.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::demand::Pool;
use super::rank::Class;
use super::rank::Rank;
use crate::job::Job;
use crate::job::Phase;
use crate::tenant;

/// Levels of borrowing in a share: within one, jobs are placed by their latest starts.
const LEVELS: f64 = 4.0;

/// CPU in millicores, other than that of long-running tasks, which run until their jobs are cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Usage {
    /// Weight of the tenant.
    weight: f64,
    /// What its tasks book.
    booked: f64,
    /// Remaining work of its jobs within its rate, in millicores times milliseconds.
    backlog: f64,
}

/// A pool in which tenants compete.
#[derive(Clone, Debug, Default, PartialEq)]
struct Contention {
    /// CPU that long-running tasks leave to others.
    available: f64,
    /// CPU that is booked or asked for, also by jobs without a tenant.
    asked: f64,
    /// Work of ready tasks of jobs that are owed and of use, in millicores times milliseconds.
    owed: f64,
    /// The same of jobs beyond the rates of their tenants that can be on time, and the latest start of each.
    beyond_rate: Vec<(Time, f64)>,
    /// Sum of the weights of the tenants.
    weights: f64,
    /// Tenants with tasks that are placed or ready.
    tenants: BTreeMap<tenant::Key, Usage>,
}

impl Contention {
    /// CPU that a tenant is entitled to, in millicores.
    fn share(&self, usage: &Usage) -> f64 {
        if usage.weight > 0.0 { self.available * usage.weight / self.weights } else { 0.0 }
    }
}

/// Use of pools by tenants, as of the last tick, with what has been placed since.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    pools: BTreeMap<String, Contention>,
}

impl Shares {
    /// Counts the CPU that the tasks of a job book and ask for, its remaining work, and its rank and that of its
    /// ready tasks if there are any; work in millicores times milliseconds. `weight` is that of its tenant.
    pub(super) fn add(
        &mut self,
        job: &Job,
        weight: Option<f64>,
        work: f64,
        ready: Option<(Rank, f64)>,
    ) {
        let (booked, asked) = cpu(job);
        let pool = self.pools.entry(job.service.clone()).or_default();
        pool.asked += booked + asked;
        if let Some((rank, work)) = ready {
            match rank.class {
                Class::BeyondRate => pool.beyond_rate.push((rank.latest_start, work)),
                Class::OnTime | Class::Late => pool.owed += work,
                _ => {}
            }
        }
        if let (Some(tenant), Some(weight)) = (job.tenant, weight) {
            let usage = pool.tenants.entry(tenant).or_default();
            usage.weight = weight;
            usage.booked += booked;
            if !job.beyond_rate {
                usage.backlog += work;
            }
        }
    }

    /// Whether no pool has work of tenants.
    pub(super) fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Ends the count.
    pub(super) fn finish(&mut self, demand: &BTreeMap<String, Pool>) {
        self.pools.retain(|_, pool| !pool.tenants.is_empty());
        for (service, pool) in &mut self.pools {
            pool.available = demand.get(service).map_or(0.0, Pool::available);
            pool.weights = pool.tenants.values().map(|usage| usage.weight).sum();
        }
    }

    /// Counts a task of a tenant that has been placed.
    pub(super) fn place(&mut self, service: &str, tenant: tenant::Key, cpu: u64) {
        let pool = self.pools.get_mut(service);
        if let Some(usage) = pool.and_then(|pool| pool.tenants.get_mut(&tenant)) {
            usage.booked += cpu as f64;
        }
    }

    /// How much a job's tenant borrows, in [`LEVELS`] of its share of a pool that is too small for all: zero
    /// while its other jobs use less than that. What the job itself uses does not count, and a share holds one
    /// step of it at least, so that no step is left half placed where a share is small.
    pub(super) fn borrowing(&self, job: &Job) -> u32 {
        let Some(tenant) = job.tenant else { return 0 };
        let Some(pool) = self.pools.get(&job.service) else { return 0 };
        let Some(usage) = pool.tenants.get(&tenant) else { return 0 };
        if pool.asked <= pool.available {
            return 0;
        }
        if usage.weight <= 0.0 {
            return u32::MAX;
        }
        let share = pool.share(usage).max(largest_step(job)).max(1.0);
        // Most tenants do not borrow, and their jobs need not be looked at.
        if usage.booked < share {
            return 0;
        }
        let used = usage.booked - cpu(job).0;
        if used < share { 0 } else { (used / share * LEVELS) as u32 }
    }

    /// Counts a job that has just been accepted, its work and that of its first steps.
    pub(super) fn expect(&mut self, job: &Job, work: f64, latest_start: Time, ready_work: f64) {
        let Some(pool) = self.pools.get_mut(&job.service) else { return };
        if job.beyond_rate {
            pool.beyond_rate.push((latest_start, ready_work));
        } else {
            pool.owed += ready_work;
        }
        let tenant = job.tenant.filter(|_| !job.beyond_rate);
        if let Some(usage) = tenant.and_then(|tenant| pool.tenants.get_mut(&tenant)) {
            usage.backlog += work;
        }
    }

    /// Work of ready tasks of a pool that precede a job beyond its tenant's rate with this latest start, in
    /// millicores times milliseconds.
    pub(super) fn ready_work(&self, service: &str, latest_start: Time) -> f64 {
        let Some(pool) = self.pools.get(service) else { return 0.0 };
        let precede = pool.beyond_rate.iter().filter(|(other, _)| *other <= latest_start);
        pool.owed + precede.map(|(_, work)| work).sum::<f64>()
    }

    /// Time in which a tenant's share of a pool works off its own part of the backlog beyond `burst`, at most
    /// an hour; zero if the tenant has no part in it that is known.
    pub(super) fn own_backlog_time(
        &self,
        service: &str,
        tenant: tenant::Key,
        burst: f64,
    ) -> Duration {
        let Some(pool) = self.pools.get(service) else { return Duration::ZERO };
        let Some(usage) = pool.tenants.get(&tenant) else { return Duration::ZERO };
        let seconds = (usage.backlog - burst) / pool.share(usage).max(1.0) / 1_000.0;
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }

    /// CPU that a tenant's tasks book in all pools, in millicores.
    pub(super) fn booked(&self, tenant: tenant::Key) -> f64 {
        let usages = self.pools.values().filter_map(|pool| pool.tenants.get(&tenant));
        usages.map(|usage| usage.booked).sum()
    }
}

/// CPU that a job's tasks book, and that its ready ones ask for, in millicores, those of long-running
/// steps apart.
fn cpu(job: &Job) -> (f64, f64) {
    let (mut booked, mut ready) = (0.0, 0.0);
    for (index, task) in job.tasks.iter().enumerate() {
        let sum = match task.phase {
            Phase::Ready => &mut ready,
            phase if phase.instance().is_some() => &mut booked,
            _ => continue,
        };
        let step = job.step(index as u32);
        if !step.long_running {
            *sum += step.booked_cpu() as f64;
        }
    }
    (booked, ready)
}

/// CPU of the largest step of a job, in millicores.
fn largest_step(job: &Job) -> f64 {
    let steps = job.spec.steps.iter().filter(|step| !step.long_running);
    let largest = steps.map(|step| u64::from(step.count).saturating_mul(step.booked_cpu())).max();
    largest.unwrap_or_default() as f64
}

impl Core {
    /// Counts a job with some work that has just been accepted.
    pub(super) fn expect_share(&mut self, job: &Job, work: f64) {
        let is_first = |step: &usize| job.spec.steps[*step].after.is_empty();
        let first = (0..job.step_count()).filter(is_first);
        let ready = first.map(|step| self.work(job, step, job.spec.steps[step].count)).sum();
        let latest_start = job.deadline - self.critical_path(job);
        self.shares.expect(job, work, latest_start, ready);
    }

    /// Weight of a tenant; None if there is no tenant, or the configuration in force does not name it.
    pub(super) fn weight(&self, tenant: Option<tenant::Key>) -> Option<f64> {
        self.tenants.get(tenant?).weight.map(tenant::limited)
    }
}
