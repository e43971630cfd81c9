//! Accepts jobs beyond the rates of their tenants only where they can be on time after all that is owed.
//!
//! Handles a tenant that sends many times its usual load: its jobs beyond its rate are marked when they are
//! accepted, and yield to those of others; where there is no room, they are rejected before any others, and
//! before any work is done for them.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::submit::MAX_RETRY_DELAY;
use super::submit::MIN_RETRY_DELAY;
use super::submit::next_return;
use crate::job::Id;
use crate::job::Job;
use crate::job::Spec;
use crate::job::Step;
use crate::tenant;
use crate::tenant::Bucket;

/// Interval between two log lines of a tenant.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of tenants that are logged at a time, those with the most rejected jobs first.
const MAX_LOGGED: usize = 16;

/// Numbers of jobs beyond the rates of their tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Beyond {
    /// Accepted ones.
    pub accepted: u64,
    /// Rejections, also of the same job.
    pub rejected: u64,
}

/// The jobs that a tenant has sent lately.
#[derive(Clone, Copy, Debug)]
struct Account {
    bucket: Bucket,
    /// When the caller that was rejected last should come back.
    returns_at: Time,
    /// Jobs beyond the rate since the last log line.
    beyond: Beyond,
}

/// The rates of all tenants.
#[derive(Clone, Debug, Default)]
pub(super) struct Rates {
    accounts: BTreeMap<tenant::Key, Account>,
    /// Jobs beyond their rates in this term.
    beyond: Beyond,
    logged_at: Time,
}

impl Rates {
    fn account(&mut self, now: Time, tenant: tenant::Key, rate: f64) -> &mut Account {
        let open = || Account {
            bucket: Bucket::open(now, rate),
            returns_at: now,
            beyond: Beyond::default(),
        };
        self.accounts.entry(tenant).or_insert_with(open)
    }
}

impl Core {
    /// Whether another job of a tenant, if there is one, is beyond its rate. A tenant that the configuration
    /// in force does not name has no rate: frontends may know a newer one.
    pub(super) fn is_beyond_rate(
        &mut self,
        now: Time,
        tenant: Option<tenant::Key>,
        spec: &Spec,
    ) -> bool {
        if spec.is_long_running() || spec.repeats > 0 {
            return false;
        }
        let (Some(tenant), Some(rate)) = (tenant, self.weight(tenant)) else { return false };
        !self.rates.account(now, tenant, rate).bucket.has_token(now, rate)
    }

    /// Counts an accepted job of a tenant, if it has one and is subject to its rate.
    pub(super) fn count_job(&mut self, now: Time, job: &Job) {
        if job.spec.is_long_running() || job.spec.repeats > 0 {
            return;
        }
        let (Some(tenant), Some(rate)) = (job.tenant, self.weight(job.tenant)) else { return };
        let account = self.rates.account(now, tenant, rate);
        if job.beyond_rate {
            account.beyond.accepted += 1;
            self.rates.beyond.accepted += 1;
        } else {
            account.bucket.take(now, rate);
        }
    }

    /// Whether a new job would wait: a task waits already that needs no more than one of its own.
    fn lacks_room(&self, service: &str, spec: &Spec) -> bool {
        let waits = |step: &Step| self.shortage.covers(service, step);
        self.round_end.is_some() || spec.steps.iter().any(waits)
    }

    /// CPU of a pool that owed work leaves if it goes on arriving as it does now, in millicores.
    fn spare_cpu(&self, now: Time, service: &str) -> f64 {
        let window = self.tuning.demand_window;
        let pool = self.demand.get(service);
        pool.map_or(0.0, |pool| (pool.available() - pool.owed_rate(now, window)).max(0.0))
    }

    /// Time in which that CPU does some work, in millicores times milliseconds; an hour at most.
    fn spare_time(&self, now: Time, service: &str, work: f64) -> Duration {
        let seconds = work / self.spare_cpu(now, service).max(1.0) / 1_000.0;
        Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
    }

    /// Whether owed work leaves no room for a job beyond its tenant's rate.
    pub(super) fn is_full(&self, now: Time, service: &str, spec: &Spec) -> bool {
        self.lacks_room(service, spec) && self.spare_cpu(now, service) == 0.0
    }

    /// Time by which a job beyond its tenant's rate would start too late to be on time: behind all that is
    /// ready and precedes it, and owed work that goes on arriving. Zero for others, and beside room.
    pub(super) fn room_excess(&self, now: Time, job: &Job) -> Duration {
        if !job.beyond_rate || !self.lacks_room(&job.service, &job.spec) {
            return Duration::ZERO;
        }
        let latest_start = job.deadline - self.critical_path(job);
        let ahead = self.shares.ready_work(&job.service, latest_start);
        let delay = self.spare_time(now, &job.service, ahead);
        delay.saturating_sub(latest_start.since(now))
    }

    /// Rejects a job of a tenant beyond its rate, which would be late by `excess`. Returns the time after
    /// which its caller should come back: when there is room or a token for it, and callers that are rejected
    /// together one after the other, as room becomes free or at the rate of their tenant.
    pub(super) fn reject_beyond_rate(
        &mut self,
        now: Time,
        job: &Job,
        excess: Duration,
    ) -> Duration {
        let doing = self.spare_time(now, &job.service, self.remaining_work(job));
        self.count_rejection(now, job.tenant, job.id, excess, doing)
    }

    /// Rejects a job of a tenant beyond its rate for which there is no room, before it is looked at.
    pub(super) fn reject_without_room(
        &mut self,
        now: Time,
        tenant: Option<tenant::Key>,
        id: Id,
    ) -> Duration {
        self.count_rejection(now, tenant, id, MAX_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Counts a rejected job of a tenant beyond its rate, for which there is room in `wait`, and for the next
    /// one `interval` later. Returns the time after which its caller should come back.
    fn count_rejection(
        &mut self,
        now: Time,
        tenant: Option<tenant::Key>,
        id: Id,
        wait: Duration,
        interval: Duration,
    ) -> Duration {
        let (Some(tenant), Some(rate)) = (tenant, self.weight(tenant)) else {
            return MIN_RETRY_DELAY;
        };
        self.rates.beyond.rejected += 1;
        let account = self.rates.account(now, tenant, rate);
        account.beyond.rejected += 1;
        let wait = account.bucket.wait(now, rate).map_or(wait, |token| token.min(wait));
        let next_token = Duration::try_from_secs_f64(1.0 / rate);
        let interval = next_token.map_or(interval, |token| token.min(interval));
        next_return(now, &mut account.returns_at, wait, interval, id)
    }

    /// Counts the restored jobs that tenants have sent lately, and marks those beyond their rates. What has
    /// ended since is not known, so no job is marked that was not.
    pub(super) fn restore_rates(&mut self) {
        let jobs = self.active.iter().map(|id| &self.jobs[id]);
        let limited = jobs.filter(|job| !job.spec.is_long_running() && job.spec.repeats == 0);
        let mut sent: Vec<(Time, Id)> = limited
            .filter(|job| self.weight(job.tenant).is_some())
            .map(|job| (job.submitted, job.id))
            .collect();
        sent.sort_unstable();
        for (at, id) in sent {
            let tenant = self.jobs[&id].tenant;
            let (Some(key), Some(rate)) = (tenant, self.weight(tenant)) else { continue };
            let within = self.rates.account(at, key, rate).bucket.take(at, rate);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.beyond_rate = !within;
            }
        }
    }

    /// Numbers of jobs beyond the rates of their tenants in this term.
    pub const fn beyond_rates(&self) -> Beyond {
        self.rates.beyond
    }

    /// Logs tenants that have sent more than their rates.
    pub(super) fn log_rates(&mut self, now: Time) {
        if now.since(self.rates.logged_at) < LOG_INTERVAL {
            return;
        }
        self.rates.logged_at = now;
        let mut beyond: Vec<(Beyond, tenant::Key)> = Vec::new();
        for (key, account) in &mut self.rates.accounts {
            let counted = std::mem::take(&mut account.beyond);
            if counted != Beyond::default() {
                beyond.push((counted, *key));
            }
        }
        beyond.sort_by_key(|(beyond, _)| std::cmp::Reverse(beyond.rejected));
        for (Beyond { accepted, rejected }, key) in beyond.into_iter().take(MAX_LOGGED) {
            let tenant = self.tenants.get(key);
            info!(
                event = "share",
                tenant = tenant.name,
                weight = tenant.weight.unwrap_or_default(),
                used_cpu = self.shares.booked(key) as u64,
                accepted,
                refused = rejected,
            );
        }
    }
}
