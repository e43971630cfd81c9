//! Keeps what the tasks of a tenant use within its cap, over all instances.
//!
//! Handles a tenant that submits more than it may run at once: its tasks wait, without a claim on the starts,
//! the room and the machines that those of others need. All that may run counts: a task from its placement until
//! its end is listed or its lease has expired for certain, runs that instances list and this leader has not
//! assigned, and after a change of leader whatever the previous leader may have started without a record.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::job::Id;
use crate::job::Job;
use crate::job::Moved;
use crate::job::Phase;
use crate::job::Step;
use crate::tenant;
use crate::tenant::Usage;

/// Interval between two log lines of a tenant.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a tenant counts as held back after one of its tasks was: some rounds of placement.
const MAX_HELD_AGE: Duration = Duration::from_secs(1);

/// By how much the clocks of two leaders may differ.
const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// What is known of tenants besides the bookings of their tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Quota {
    /// What tasks would use that the previous leader may have started without a record.
    unknown: BTreeMap<tenant::Key, Usage>,
    /// Runs that an instance listed last although they are not assigned to it.
    strays: BTreeMap<instance::Key, Vec<(tenant::Key, Usage)>>,
    /// Tenants whose caps hold tasks back.
    held: BTreeMap<tenant::Key, Held>,
}

/// Since when the cap of a tenant has held tasks back.
#[derive(Clone, Copy, Debug)]
struct Held {
    since: Time,
    /// When it last held one back.
    seen_at: Time,
    logged_at: Option<Time>,
}

impl Core {
    /// What the tasks of a tenant may be using.
    pub fn possible_usage(&self, now: Time, tenant: tenant::Key) -> Usage {
        let unknown = self.quota.unknown.get(&tenant).copied().unwrap_or_default();
        let listed = self.quota.strays.iter().filter(|(key, _)| {
            let instance = self.instance(**key);
            now < instance.leases_expire_at(&self.tuning)
        });
        let own = listed.flat_map(|(_, runs)| runs).filter(|(owner, _)| *owner == tenant);
        let strays = own.fold(Usage::default(), |used, (_, run)| used.plus(*run));
        self.tenants.usage(tenant).plus(unknown).plus(strays)
    }

    /// Number of tenants whose caps hold tasks back.
    pub fn held_back_tenants(&self) -> usize {
        self.quota.held.len()
    }

    /// Share of its cap that each tenant with a cap may be using, the highest first.
    pub fn cap_shares(&self, now: Time) -> Vec<f64> {
        let share =
            |used: u64, limit: u64| if limit == 0 { 0.0 } else { used as f64 / limit as f64 };
        let capped = self.tenants.iter().filter(|(_, tenant)| tenant.cap.is_limited());
        let shares = capped.map(|(key, tenant)| {
            let (cap, used) = (tenant.cap, self.possible_usage(now, key));
            share(used.cpu, cap.cpu)
                .max(share(used.memory, cap.memory))
                .max(share(used.accelerators, cap.accelerators))
        });
        let mut shares: Vec<f64> = shares.collect();
        shares.sort_unstable_by(|one, other| other.total_cmp(one));
        shares
    }

    /// The tenant of a job, if it has a cap.
    pub(super) fn capped_tenant(&self, job: &Job) -> Option<tenant::Key> {
        job.tenant.filter(|&tenant| self.tenants.get(tenant).cap.is_limited())
    }

    /// Whether the cap of its tenant lets `count` tasks of a step of a job start together.
    pub(super) fn cap_admits(&self, now: Time, job: &Job, step: &Step, count: u64) -> bool {
        let Some(tenant) = self.capped_tenant(job) else { return true };
        // Before that nothing is known of what the previous leaders have started.
        if !self.is_restored() {
            return false;
        }
        let (group, largest) = (Usage::of(step, count), Usage::of(step, 1));
        self.tenants.get(tenant).cap.admits(self.possible_usage(now, tenant), group, largest)
    }

    /// Whether the cap of its tenant still lets a task start that is placed on an instance; of a gang, its members
    /// together. The cap may have been lowered, and runs found, since it was placed.
    pub(super) fn cap_admits_placed(&self, now: Time, job: &Job, index: u32) -> bool {
        let Some(tenant) = self.capped_tenant(job) else { return true };
        let step = job.step(index);
        let count = if step.gang {
            let members = job.siblings(index);
            let members = &job.tasks[members.start.index as usize..members.end.index as usize];
            members.iter().filter(|task| task.phase.instance().is_some()).count() as u64
        } else {
            1
        };
        let (group, largest) = (Usage::of(step, count), Usage::of(step, 1));
        let others = self.possible_usage(now, tenant).minus(group);
        self.tenants.get(tenant).cap.admits(others, group, largest)
    }

    /// Whether the cap of its tenant holds all ready tasks of a job back.
    pub(super) fn is_held_back(&self, now: Time, job: &Job) -> bool {
        if self.capped_tenant(job).is_none() {
            return false;
        }
        let mut index = 0;
        let mut any_ready = false;
        while index < job.tasks.len() {
            let name = job.task_name(index as u32);
            let members = job.members(name.occurrence, name.step as usize);
            if job.tasks[members.clone()].iter().any(|task| task.phase == Phase::Ready) {
                any_ready = true;
                let step = job.step(index as u32);
                let count = if step.gang { u64::from(step.count) } else { 1 };
                if self.cap_admits(now, job, step, count) {
                    return false;
                }
            }
            index = members.end.max(index + 1);
        }
        any_ready
    }

    /// Records that the cap of its tenant holds tasks of a job back.
    pub(super) fn hold_back(&mut self, now: Time, id: Id) {
        let Some(tenant) = self.jobs.get(&id).and_then(|job| job.tenant) else { return };
        let held = self.quota.held.entry(tenant).or_insert(Held {
            since: now,
            seen_at: now,
            logged_at: None,
        });
        held.seen_at = now;
    }

    /// Counts what tasks would use that the previous leader may have started without a record, wherever they run.
    ///
    /// Handles starts of which no row tells: that they are not known must not let as much start besides. The
    /// previous leader kept the caps, too, but which of what it had running has ended since is not known either.
    pub(super) fn count_unknown_starts(&mut self, now: Time) {
        self.quota.unknown.clear();
        if !self.unrecorded_starts || now >= self.inherited_until() {
            return;
        }
        let mut known: BTreeMap<(String, Moved), bool> = BTreeMap::new();
        let ids = self.active.iter().filter(|id| {
            let job = &self.jobs[*id];
            job.maybe_unrecorded && self.capped_tenant(job).is_some()
        });
        for id in ids.copied().collect::<Vec<_>>() {
            self.settle_starts(now, id, &mut known);
            let job = &self.jobs[&id];
            let Some(tenant) = job.tenant else { continue };
            let may_run = |index: usize| {
                let name = job.task_name(index as u32);
                matches!(job.tasks[index].phase, Phase::Waiting | Phase::Ready)
                    && !job.knows_starts(index as u32)
                    && job.occurrence_start(name.occurrence) <= now + CLOCK_MARGIN
            };
            let unknown = (0..job.tasks.len()).filter(|&index| may_run(index));
            let used = unknown.fold(Usage::default(), |used, index| {
                used.plus(Usage::of(job.step(index as u32), 1))
            });
            let total = self.quota.unknown.entry(tenant).or_default();
            *total = total.plus(used);
        }
    }

    /// Records the runs that an instance lists although they are not assigned to it, by the tenants of their jobs.
    pub(super) fn set_strays(&mut self, key: instance::Key, strays: Vec<(tenant::Key, Usage)>) {
        if strays.is_empty() {
            self.quota.strays.remove(&key);
        } else {
            self.quota.strays.insert(key, strays);
        }
    }

    /// Share of the ready tasks of each tenant with a cap that the cap lets start beside what the tenant uses.
    /// Tenants without ready tasks are left out.
    ///
    /// Handles tenants that submit more than they may run: machines that come for it would stay idle.
    pub(super) fn startable_shares(&self, now: Time) -> BTreeMap<tenant::Key, f64> {
        let mut ready: BTreeMap<tenant::Key, Usage> = BTreeMap::new();
        for id in &self.active {
            let job = &self.jobs[id];
            let Some(tenant) = self.capped_tenant(job) else { continue };
            let total = ready.entry(tenant).or_default();
            for (index, task) in job.tasks.iter().enumerate() {
                if task.phase == Phase::Ready {
                    *total = total.plus(Usage::of(job.step(index as u32), 1));
                }
            }
        }
        let share = |(tenant, ready): (tenant::Key, Usage)| {
            let (cap, used) = (self.tenants.get(tenant).cap, self.possible_usage(now, tenant));
            let of = |limit: u64, used: u64, ready: u64| match limit {
                0 => 1.0,
                _ => limit.saturating_sub(used) as f64 / ready.max(1) as f64,
            };
            let share = of(cap.cpu, used.cpu, ready.cpu)
                .min(of(cap.memory, used.memory, ready.memory))
                .min(of(cap.accelerators, used.accelerators, ready.accelerators));
            (tenant, share.min(1.0))
        };
        ready.into_iter().map(share).collect()
    }

    /// Logs tenants whose caps hold tasks back, each once in [`LOG_INTERVAL`].
    pub(super) fn log_quotas(&mut self, now: Time) {
        self.quota.held.retain(|_, held| now.since(held.seen_at) < MAX_HELD_AGE);
        let is_due = |held: &Held| held.logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        let due = self.quota.held.iter().filter(|(_, held)| is_due(held));
        for tenant in due.map(|(key, _)| *key).collect::<Vec<_>>() {
            let used = self.possible_usage(now, tenant);
            let Some(held) = self.quota.held.get_mut(&tenant) else { continue };
            held.logged_at = Some(now);
            let tenant = self.tenants.get(tenant);
            info!(
                event = "quota",
                tenant = tenant.name,
                held_ms = now.since(held.since).as_millis(),
                cpu = used.cpu,
                max_cpu = tenant.cap.cpu,
                memory = used.memory,
                max_memory = tenant.cap.memory,
                accelerators = used.accelerators,
                max_accelerators = tenant.cap.accelerators,
            );
        }
    }
}
