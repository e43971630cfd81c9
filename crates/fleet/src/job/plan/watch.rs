//! Workers that fail what others can do: quarantine, probation, trust.
//!
//! A worker is judged by its latest failures in a row. Each is weighed by how likely a sound worker
//! would have been to have it, which is how attempts of the same kind end at the other workers of
//! the pool. A kind that fails everywhere says nothing against a worker.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Scratch;
use crate::instance;
use crate::job::Decision;
use crate::job::Index;
use crate::job::MILLION;
use crate::job::Trust;
use crate::job::Worker;
use crate::job::index::Book;
use crate::job::index::Node;
use crate::key;
use crate::time::Time;

/// Failures in a row that are weighed at most.
const LONGEST_STREAK: usize = 16;

/// Longest chance, in millionths, that a failure on probation was not the worker's.
const PROBATION_CHANCE: u64 = MILLION / 4;

/// Moves workers of a pool between trust, quarantine and probation.
pub(super) fn run(step: &mut Scratch<'_>, pool: key::Pool, book: &Book) {
    let mut held = 0;
    for (instance, worker) in suspects(step, pool) {
        held += 1;
        let decision = review(step, book, instance, worker).filter(|_| !step.is_full());
        if matches!(decision, Some(Decision::Quarantine { .. })) {
            step.barred.insert(instance);
        }
        step.decisions.extend(decision);
    }
    let most = most_held(step, book.nodes.len());
    for &instance in &book.failing {
        if held >= most || step.is_full() {
            return;
        }
        let Some(decision) = accuse(step, book, instance) else { continue };
        step.decisions.push(decision);
        step.barred.insert(instance);
        held += 1;
    }
}

/// Failures of different jobs in a row since `since`, and the chance, in millionths, that a sound
/// worker would have had them all.
fn evidence(
    index: &Index,
    book: &Book,
    (instance, node): (key::Instance, &Node),
    since: Time,
) -> (usize, u64) {
    let mut jobs = BTreeSet::new();
    let mut chance = MILLION;
    for (at, job, entry) in index.streak(node).take(LONGEST_STREAK) {
        if at <= since && since > Time::ZERO {
            break;
        }
        if !jobs.insert(job) {
            continue;
        }
        let kind = book.kinds.get(&entry.kind);
        let likely = kind.map_or(MILLION, |kind| kind.failure_chance(instance));
        chance = chance * likely / MILLION;
    }
    (jobs.len(), chance)
}

/// Failures in a row, and the longest chance of them in millionths, from which a worker gets one
/// attempt at a time.
const DOUBT: (usize, u64) = (2, MILLION / 20);

/// How long a suspect that may not be put into quarantine rests after a failure.
const REST: Duration = Duration::from_secs(30);

/// What is thought of a worker that is not in quarantine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Doubt {
    /// Nothing is held against it.
    #[default]
    None,
    /// It may fail what others can do: it gets one attempt at a time.
    Some,
    /// It fails what others can do, and as many as may be are in quarantine: it comes last too.
    Proven,
    /// The same, and its latest failure was just now: it gets none.
    Resting,
}

impl Doubt {
    /// What is thought of a worker where attempts failed.
    pub(super) fn of(step: &Scratch<'_>, book: &Book, key: key::Instance, node: &Node) -> Self {
        let evidence = evidence(step.index, book, (key, node), Time::ZERO);
        if is_enough(step, evidence) {
            let last = node.verdicts.last_key_value().map(|(&(at, _, _), _)| at);
            let rests = last.is_some_and(|last| step.now < last + REST);
            return if rests { Self::Resting } else { Self::Proven };
        }
        let (failures, chance) = evidence;
        if failures >= DOUBT.0 && chance <= DOUBT.1 { Self::Some } else { Self::None }
    }
}

/// Whether a trusted worker's failures are enough for a quarantine.
pub(in crate::job) fn is_suspect(step: &Scratch<'_>, book: &Book, key: key::Instance) -> bool {
    let node = step.index.node(key);
    node.is_some_and(|node| is_enough(step, evidence(step.index, book, (key, node), Time::ZERO)))
}

fn is_enough(step: &Scratch<'_>, (failures, chance): (usize, u64)) -> bool {
    let limits = &step.world.limits;
    failures >= limits.quarantine_failures as usize && chance <= u64::from(limits.quarantine_chance)
}

/// Workers of a pool that may be held back at once.
fn most_held(step: &Scratch<'_>, members: usize) -> usize {
    if members < 2 {
        return 0;
    }
    (members * step.world.limits.quarantine_percent as usize / 100).max(1)
}

/// Workers of the pool that are not trusted.
fn suspects<'a>(step: &Scratch<'a>, pool: key::Pool) -> Vec<(key::Instance, &'a Worker)> {
    let (world, index) = (step.world, step.index);
    let of_pool = |instance: &key::Instance| {
        let spot = index.node(*instance).and_then(|node| node.spot.as_ref());
        spot.is_some_and(|spot| spot.pool == pool)
    };
    let found = world.workers.iter().filter_map(|(name, worker)| {
        let instance = world.names.instances.get(name).copied().filter(of_pool)?;
        Some((instance, worker))
    });
    found.collect()
}

fn accuse(step: &Scratch<'_>, book: &Book, instance: key::Instance) -> Option<Decision> {
    if step.world.trust(instance) != Trust::Trusted {
        return None;
    }
    let node = step.index.node(instance)?;
    if node.spot.as_ref()?.state != instance::State::Serving {
        return None;
    }
    let evidence = evidence(step.index, book, (instance, node), Time::ZERO);
    is_enough(step, evidence).then(|| quarantine(step, instance, 0, evidence.0))
}

fn review(
    step: &Scratch<'_>,
    book: &Book,
    instance: key::Instance,
    worker: &Worker,
) -> Option<Decision> {
    let node = step.index.node(instance)?;
    if node.spot.as_ref()?.state == instance::State::Gone {
        return Some(Decision::Trust { instance });
    }
    match worker.trust {
        Trust::Quarantine => {
            let over = worker.until <= step.now || was_maintained(step, instance, worker);
            over.then_some(Decision::Probation { instance })
        }
        Trust::Probation => {
            let (failures, chance) = evidence(step.index, book, (instance, node), worker.since);
            if failures > 0 && chance <= PROBATION_CHANCE {
                return Some(quarantine(step, instance, worker.quarantines, failures));
            }
            let good = successes(node, worker.since);
            let enough = good >= step.world.limits.probation_successes as usize;
            enough.then_some(Decision::Trust { instance })
        }
        Trust::Trusted => None,
    }
}

fn quarantine(
    step: &Scratch<'_>,
    instance: key::Instance,
    earlier: u32,
    failures: usize,
) -> Decision {
    let until = step.now + step.world.limits.quarantine(earlier);
    Decision::Quarantine { instance, until, failures: failures as u32 }
}

/// Whether maintenance has finished since the quarantine began, which may have mended the worker.
fn was_maintained(step: &Scratch<'_>, instance: key::Instance, worker: &Worker) -> bool {
    let found = step.world.instances.get(instance);
    found.is_some_and(|instance| instance.maintained > worker.since)
}

fn successes(node: &Node, since: Time) -> usize {
    let newest = node.verdicts.iter().rev();
    newest.take_while(|((at, _, _), _)| *at > since).filter(|(_, good)| **good).count()
}
