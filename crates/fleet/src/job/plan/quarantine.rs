//! Quarantine, probation and trust for workers on which jobs fail that succeed elsewhere.
//!
//! A worker is judged by its latest consecutive failures. Each is weighted by the probability that
//! it would have happened on a healthy worker, estimated from attempts of the same kind on the other
//! workers of the pool. Failures of a kind that fails everywhere are no evidence against a worker.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Planner;
use crate::instance;
use crate::job::Decision;
use crate::job::Index;
use crate::job::MILLION;
use crate::job::Trust;
use crate::job::Worker;
use crate::job::index::InstanceIndex;
use crate::job::index::PoolIndex;
use crate::key;
use crate::time::Time;

/// Maximum number of consecutive failures that are evaluated.
const MAX_STREAK: usize = 16;

/// A worker on probation is quarantined again if the probability that a healthy worker has the same
/// failures is at most this, in millionths.
const MAX_PROBATION_PROBABILITY: u64 = MILLION / 4;

/// Changes the trust levels of a pool's workers.
pub(super) fn run(planner: &mut Planner<'_>, pool: key::Pool, pool_index: &PoolIndex) {
    let mut restricted = 0;
    for (instance, worker) in untrusted(planner, pool) {
        restricted += 1;
        let decision =
            review_untrusted(planner, pool_index, instance, worker).filter(|_| !planner.is_full());
        if matches!(decision, Some(Decision::Quarantine { .. })) {
            planner.quarantined.insert(instance);
        }
        planner.decisions.extend(decision);
    }
    let max_restricted = max_restricted(planner, pool_index.instances.len());
    for &instance in &pool_index.failing {
        if restricted >= max_restricted || planner.is_full() {
            return;
        }
        let Some(decision) = check_trusted(planner, pool_index, instance) else { continue };
        planner.decisions.push(decision);
        planner.quarantined.insert(instance);
        restricted += 1;
    }
}

/// Number of consecutive failures of different jobs after `since`, and the probability, in
/// millionths, that a healthy worker would have all of them.
fn evidence(
    index: &Index,
    pool_index: &PoolIndex,
    (instance, instance_index): (key::Instance, &InstanceIndex),
    since: Time,
) -> (usize, u64) {
    let mut jobs = BTreeSet::new();
    let mut probability = MILLION;
    for (at, job, entry) in index.failure_streak(instance_index).take(MAX_STREAK) {
        if at <= since && since > Time::ZERO {
            break;
        }
        if !jobs.insert(job) {
            continue;
        }
        let kind = pool_index.kinds.get(&entry.kind);
        let likelihood = kind.map_or(MILLION, |kind| kind.failure_probability(instance));
        probability = probability * likelihood / MILLION;
    }
    (jobs.len(), probability)
}

/// Minimum number of consecutive failures, and maximum probability in millionths that a healthy
/// worker has them, for which a worker gets only one attempt at a time.
const SUSPICION_THRESHOLD: (usize, u64) = (2, MILLION / 20);

/// How long after a failure a worker gets no attempts, if it should be in quarantine but the limit
/// for the pool is reached.
const COOLDOWN: Duration = Duration::from_secs(30);

/// Suspicion against a worker that is not in quarantine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Suspicion {
    /// No restriction.
    #[default]
    None,
    /// It may be faulty: it gets one attempt at a time.
    Suspected,
    /// It should be in quarantine, but the limit for the pool is reached: it gets one attempt at a
    /// time and is chosen last.
    Confirmed,
    /// Like `Confirmed`, within [`COOLDOWN`] of its latest failure: it gets no attempts.
    CoolingDown,
}

impl Suspicion {
    /// The suspicion against a worker on which attempts failed.
    pub(super) fn of(
        planner: &Planner<'_>,
        pool_index: &PoolIndex,
        key: key::Instance,
        instance_index: &InstanceIndex,
    ) -> Self {
        let evidence = evidence(planner.index, pool_index, (key, instance_index), Time::ZERO);
        if warrants_quarantine(planner, evidence) {
            let last = instance_index.completions.last_key_value().map(|(&(at, _, _), _)| at);
            let cooling_down = last.is_some_and(|last| planner.now < last + COOLDOWN);
            return if cooling_down { Self::CoolingDown } else { Self::Confirmed };
        }
        let (failures, probability) = evidence;
        if failures >= SUSPICION_THRESHOLD.0 && probability <= SUSPICION_THRESHOLD.1 {
            Self::Suspected
        } else {
            Self::None
        }
    }
}

/// Whether a trusted worker's failures warrant a quarantine.
pub(in crate::job) fn should_be_quarantined(
    planner: &Planner<'_>,
    pool_index: &PoolIndex,
    key: key::Instance,
) -> bool {
    let instance_index = planner.index.instance(key);
    instance_index.is_some_and(|instance_index| {
        warrants_quarantine(
            planner,
            evidence(planner.index, pool_index, (key, instance_index), Time::ZERO),
        )
    })
}

fn warrants_quarantine(planner: &Planner<'_>, (failures, probability): (usize, u64)) -> bool {
    let limits = &planner.world.limits;
    failures >= limits.quarantine_failures as usize
        && probability <= u64::from(limits.quarantine_chance)
}

/// Number of workers of a pool that may be in quarantine or on probation at once.
fn max_restricted(planner: &Planner<'_>, members: usize) -> usize {
    if members < 2 {
        return 0;
    }
    (members * planner.world.limits.quarantine_percent as usize / 100).max(1)
}

/// Workers of the pool that are in quarantine or on probation.
fn untrusted<'a>(planner: &Planner<'a>, pool: key::Pool) -> Vec<(key::Instance, &'a Worker)> {
    let (world, index) = (planner.world, planner.index);
    let of_pool = |instance: &key::Instance| {
        let attributes = index.instance(*instance).and_then(|found| found.attributes.as_ref());
        attributes.is_some_and(|attributes| attributes.pool == pool)
    };
    let found = world.workers.iter().filter_map(|(name, worker)| {
        let instance = world.names.instances.get(name).copied().filter(of_pool)?;
        Some((instance, worker))
    });
    found.collect()
}

fn check_trusted(
    planner: &Planner<'_>,
    pool_index: &PoolIndex,
    instance: key::Instance,
) -> Option<Decision> {
    if planner.world.trust(instance) != Trust::Trusted {
        return None;
    }
    let instance_index = planner.index.instance(instance)?;
    if instance_index.attributes.as_ref()?.state != instance::State::Serving {
        return None;
    }
    let evidence = evidence(planner.index, pool_index, (instance, instance_index), Time::ZERO);
    warrants_quarantine(planner, evidence).then(|| quarantine(planner, instance, 0, evidence.0))
}

fn review_untrusted(
    planner: &Planner<'_>,
    pool_index: &PoolIndex,
    instance: key::Instance,
    worker: &Worker,
) -> Option<Decision> {
    let instance_index = planner.index.instance(instance)?;
    if instance_index.attributes.as_ref()?.state == instance::State::Gone {
        return Some(Decision::Trust { instance });
    }
    match worker.trust {
        Trust::Quarantine => {
            let has_ended =
                worker.until <= planner.now || was_maintained(planner, instance, worker);
            has_ended.then_some(Decision::Probation { instance })
        }
        Trust::Probation => {
            let (failures, probability) =
                evidence(planner.index, pool_index, (instance, instance_index), worker.since);
            if failures > 0 && probability <= MAX_PROBATION_PROBABILITY {
                return Some(quarantine(planner, instance, worker.quarantines, failures));
            }
            let succeeded = successes(instance_index, worker.since);
            let enough = succeeded >= planner.world.limits.probation_successes as usize;
            enough.then_some(Decision::Trust { instance })
        }
        Trust::Trusted => None,
    }
}

fn quarantine(
    planner: &Planner<'_>,
    instance: key::Instance,
    earlier: u32,
    failures: usize,
) -> Decision {
    let until = planner.now + planner.world.limits.quarantine(earlier);
    Decision::Quarantine { instance, until, failures: failures as u32 }
}

/// Whether maintenance has finished since the quarantine began, which may have repaired the worker.
fn was_maintained(planner: &Planner<'_>, instance: key::Instance, worker: &Worker) -> bool {
    let found = planner.world.instances.get(instance);
    found.is_some_and(|instance| instance.maintained > worker.since)
}

fn successes(instance_index: &InstanceIndex, since: Time) -> usize {
    let newest = instance_index.completions.iter().rev();
    newest.take_while(|((at, _, _), _)| *at > since).filter(|(_, succeeded)| **succeeded).count()
}
