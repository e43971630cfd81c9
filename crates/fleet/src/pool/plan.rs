//! Plans the recall, replacement, moving and parking of instances.
//!
//! All steps of a round share one [`Tally`] and record their decisions in it, so that one spare
//! instance isn't planned for two pools.

use std::collections::BTreeSet;

use crate::config::Weights;
use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Decision;
use crate::pool::Margin;
use crate::pool::Pool;
use crate::pool::Reason;
use crate::pool::Tally;
use crate::pool::Target;
use crate::time::Time;
use crate::wave::Run;
use crate::world::World;

/// Maximum number of moves that begin in one round. The rest begin in later rounds.
const MAX_MOVES: u32 = 8;

/// Returns the decisions that these pools call for now.
pub fn plan(world: &World, pools: &BTreeSet<key::Pool>, now: Time) -> Vec<Decision> {
    let mut round = Round {
        world,
        now,
        tally: Tally::collect(world, now),
        moves_left: MAX_MOVES,
        decided: BTreeSet::new(),
        decisions: Vec::new(),
    };
    for &pool in pools {
        round.continue_pending(pool);
        round.recall_drained(pool);
    }
    for &pool in pools {
        round.refill(pool);
    }
    for &pool in pools {
        round.reduce_surplus(pool);
    }
    round.decisions
}

/// One round of planning.
struct Round<'a> {
    world: &'a World,
    now: Time,
    tally: Tally,
    /// Number of moves that may still begin in this round.
    moves_left: u32,
    /// Instances that a decision of this round concerns.
    decided: BTreeSet<key::Instance>,
    decisions: Vec<Decision>,
}

/// Kinds of donor, a pool that can give away an instance, in order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Donor {
    /// A regular pool that expects more instances than desired.
    Surplus,
    /// A spare pool.
    Spare,
    /// A regular pool that would still have `min_ready` ready instances after a rack failure. Used
    /// only if the receiving pool has fewer than its `min_ready`.
    RackSafe,
}

impl<'a> Round<'a> {
    /// Completes pending operations: moves or parks drained instances, and puts back into service
    /// those whose wave has ended without maintaining them.
    fn continue_pending(&mut self, pool: key::Pool) {
        for (instance, member) in self.world.members(pool) {
            let decision = match (member.state, member.purpose) {
                (State::Drained, Some(Purpose::Move { to, reason })) => {
                    Decision::Move { instance, to, reason }
                }
                (State::Drained, Some(Purpose::Parked)) => Decision::Park { instance },
                (State::Draining | State::Drained, Some(Purpose::Wave(run)))
                    if !is_active(self.world, run) =>
                {
                    Decision::Return { instance, reason: Reason::Wave }
                }
                _ => continue,
            };
            self.decide(instance, decision);
        }
    }

    /// Puts draining and drained instances back into service while fewer than `min_ready` are ready.
    fn recall_drained(&mut self, pool: key::Pool) {
        let world = self.world;
        for (key, member) in world.members(pool) {
            let Some(status) = self.tally.pool_mut(pool) else {
                return;
            };
            if status.budget.ready() >= status.budget.min_ready() {
                return;
            }
            if !is_recallable(member) {
                continue;
            }
            status.budget.add(member.rack);
            self.decisions.retain(|decision| !concerns(decision, key));
            self.decide(key, Decision::Return { instance: key, reason: Reason::Rescue });
        }
    }

    /// Moves instances into the pool while too few are ready or expected.
    fn refill(&mut self, key: key::Pool) {
        let Some((pool, weights)) = self.regular_pool(key) else {
            return;
        };
        while let Some(reason) = self.refill_reason(key, pool, weights) {
            if !self.move_in(key, pool, weights, reason) {
                return;
            }
        }
    }

    /// The reason for which the pool should get one more instance now, if it should.
    fn refill_reason(&self, key: key::Pool, pool: &Pool, weights: Weights) -> Option<Reason> {
        let status = self.tally.pool(key)?;
        let target = Target::regular(pool, status, weights);
        let incoming = status.budget.ready() + status.arriving;
        if incoming < pool.spec.min_ready && incoming + status.checking < pool.spec.min_ready {
            return Some(Reason::Rescue);
        }
        if status.expected() < target.required {
            return Some(Reason::Short);
        }
        let below_desired =
            status.expected() < target.desired && self.has_cooled_down(pool, target);
        below_desired.then_some(Reason::Short)
    }

    /// Starts to move the best available instance to the pool `to`. Returns false if there is none.
    fn move_in(&mut self, to: key::Pool, pool: &Pool, weights: Weights, reason: Reason) -> bool {
        if self.moves_left == 0 {
            return false;
        }
        let Some((instance, rack, from)) = self.best_candidate(to, pool, weights, reason) else {
            return false;
        };
        self.moves_left -= 1;
        if let Some(status) = self.tally.pool_mut(from) {
            status.budget.remove(rack);
        }
        if let Some(status) = self.tally.pool_mut(to) {
            status.arriving += 1;
        }
        self.decide(instance, Decision::Move { instance, to, reason });
        true
    }

    /// The best instance to move to the pool `to`, with its rack and its pool.
    fn best_candidate(
        &self,
        to: key::Pool,
        pool: &Pool,
        weights: Weights,
        reason: Reason,
    ) -> Option<(key::Instance, key::Rack, key::Pool)> {
        let mut best: Option<(Rank<'a>, key::Instance, key::Rack, key::Pool)> = None;
        for (from, donor) in self.world.pools.iter() {
            if from == to || donor.organisation != pool.organisation {
                continue;
            }
            let Some(kind) = self.donor_kind(from, donor, weights, reason) else {
                continue;
            };
            for (instance, member) in self.world.ready(from) {
                let Some(rank) = self.rank(kind, from, to, member) else {
                    continue;
                };
                if self.is_decided(instance) {
                    continue;
                }
                let better = best.as_ref().is_none_or(|(best, ..)| rank < *best);
                if better {
                    best = Some((rank, instance, member.rack, from));
                }
            }
        }
        best.map(|(_, instance, rack, from)| (instance, rack, from))
    }

    /// The kind of donor that this pool is, or `None` if it must not give away an instance.
    fn donor_kind(
        &self,
        key: key::Pool,
        donor: &Pool,
        weights: Weights,
        reason: Reason,
    ) -> Option<Donor> {
        let status = self.tally.pool(key)?;
        if donor.spec.spare {
            return (status.budget.ready() > donor.spec.min_ready).then_some(Donor::Spare);
        }
        let target = Target::regular(donor, status, weights);
        if status.expected() > target.desired {
            return Some(Donor::Surplus);
        }
        let allowed = reason == Reason::Rescue && status.budget.ready() > target.floor;
        allowed.then_some(Donor::RackSafe)
    }

    /// Ranks an instance as replacement for the pool `to`. Returns `None` if the budget of its own
    /// pool doesn't allow its move.
    fn rank(
        &self,
        kind: Donor,
        from: key::Pool,
        to: key::Pool,
        member: &'a Instance,
    ) -> Option<Rank<'a>> {
        let donor_status = self.tally.pool(from)?;
        let margin = if kind == Donor::Spare { Margin::MinReady } else { Margin::RackFailure };
        donor_status.budget.check(member.rack, margin).ok()?;
        let recipient_status = self.tally.pool(to)?;
        let in_rack = recipient_status.budget.in_rack(member.rack);
        let in_data_centre =
            recipient_status.data_centres.get(&member.data_centre).copied().unwrap_or(0);
        Some(Rank { donor: kind, in_rack, in_data_centre, name: &member.name })
    }

    /// Moves the surplus of a regular pool to the spare pool after its cooldown. Unparks instances of
    /// a spare pool that has too few ready, or parks its surplus after its cooldown.
    fn reduce_surplus(&mut self, key: key::Pool) {
        if let Some((pool, weights)) = self.regular_pool(key) {
            self.move_surplus_out(key, pool, weights);
            return;
        }
        let Some(pool) = self.world.pools.get(key).filter(|pool| pool.spec.spare) else {
            return;
        };
        let target = self.spare_target(pool);
        let Some(status) = self.tally.pool(key) else {
            return;
        };
        let available = status.budget.ready() + status.checking;
        if available < target.desired {
            self.unpark(key, target.desired - available);
        } else if self.has_cooled_down(pool, target) {
            self.park(key, target);
        }
    }

    /// Starts to move one instance to the spare pool, from the rack with the most ready members, if
    /// the pool has a surplus.
    fn move_surplus_out(&mut self, key: key::Pool, pool: &Pool, weights: Weights) {
        let Some(status) = self.tally.pool(key) else {
            return;
        };
        let target = Target::regular(pool, status, weights);
        if status.budget.ready() <= target.desired || !self.has_cooled_down(pool, target) {
            return;
        }
        let Some(to) = self.spare_pool(pool.organisation) else {
            return;
        };
        let members = self.world.ready(key);
        let free = members.filter(|&(instance, _)| !self.is_decided(instance));
        let in_largest_rack = free.max_by_key(|(_, member)| status.budget.in_rack(member.rack));
        let Some((instance, member)) = in_largest_rack else {
            return;
        };
        let allowed = status.budget.check(member.rack, Margin::RackFailure).is_ok();
        if allowed && self.moves_left > 0 {
            self.moves_left -= 1;
            self.decide(instance, Decision::Move { instance, to, reason: Reason::Surplus });
        }
    }

    /// The target of a spare pool, based on the shortage of the organisation's regular pools.
    fn spare_target(&self, spare: &Pool) -> Target {
        let organisation = spare.organisation;
        let weights = self.weights(organisation);
        let mut shortage = 0;
        for (key, pool) in self.world.pools.iter() {
            let Some(status) = self.tally.pool(key) else {
                continue;
            };
            if pool.organisation == organisation && !pool.spec.spare {
                let target = Target::regular(pool, status, weights);
                shortage += target.required.saturating_sub(status.expected());
            }
        }
        Target::spare(spare, self.tally.largest_rack(organisation), shortage, weights)
    }

    /// Puts up to `count` parked instances back into service.
    fn unpark(&mut self, pool: key::Pool, count: u32) {
        let parked = self.world.members(pool).filter(|(_, member)| can_unpark(member));
        for (instance, _) in parked.take(count as usize) {
            self.decisions.retain(|decision| !concerns(decision, instance));
            self.decide(instance, Decision::Return { instance, reason: Reason::Short });
        }
    }

    /// Parks the instances beyond the target, each from the rack that then has the most ready ones.
    fn park(&mut self, key: key::Pool, target: Target) {
        let Some(mut budget) = self.tally.pool(key).map(|status| status.budget.clone()) else {
            return;
        };
        while budget.ready() > target.desired {
            let members = self.world.ready(key);
            let free = members.filter(|&(instance, _)| !self.is_decided(instance));
            let in_largest_rack = free.max_by_key(|(_, member)| budget.in_rack(member.rack));
            let Some((instance, member)) = in_largest_rack else {
                return;
            };
            budget.remove(member.rack);
            self.decide(instance, Decision::Park { instance });
        }
    }

    /// Whether a decision of this round concerns this instance.
    fn is_decided(&self, instance: key::Instance) -> bool {
        self.decided.contains(&instance)
    }

    fn decide(&mut self, instance: key::Instance, decision: Decision) {
        self.decided.insert(instance);
        self.decisions.push(decision);
    }

    /// Whether the pool has been unchanged for the cooldown of its target.
    fn has_cooled_down(&self, pool: &Pool, target: Target) -> bool {
        self.now.since(pool.changed) >= target.cooldown
    }

    /// The pool and the weights of its organisation, unless it is a spare pool.
    fn regular_pool(&self, key: key::Pool) -> Option<(&'a Pool, Weights)> {
        let pool = self.world.pools.get(key)?;
        (!pool.spec.spare).then(|| (pool, self.weights(pool.organisation)))
    }

    fn weights(&self, organisation: key::Organisation) -> Weights {
        self.world.organisations.get(organisation).map(|value| value.weights).unwrap_or_default()
    }

    /// The spare pool of an organisation.
    fn spare_pool(&self, organisation: key::Organisation) -> Option<key::Pool> {
        let mut pools = self.world.pools.iter();
        let spare = pools.find(|(_, pool)| pool.organisation == organisation && pool.spec.spare);
        spare.map(|(key, _)| key)
    }
}

/// The suitability of an instance as a replacement. Lower is better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    donor: Donor,
    in_rack: u32,
    in_data_centre: u32,
    name: &'a str,
}

/// Whether this run of a wave is still active, so that it will continue with its instances.
fn is_active(world: &World, run: Run) -> bool {
    let wave = world.waves.get(run.wave);
    wave.is_some_and(|wave| wave.run == run.number && wave.phase.is_active())
}

/// Whether the instance is draining or drained for a wave, a move or parking, and isn't stopped yet.
const fn is_recallable(member: &Instance) -> bool {
    let draining = matches!(member.state, State::Draining | State::Drained);
    let automatic =
        matches!(member.purpose, Some(Purpose::Wave(_) | Purpose::Move { .. } | Purpose::Parked));
    draining && automatic
}

/// Whether an instance is parked, or being drained to be parked.
fn can_unpark(member: &Instance) -> bool {
    let out = matches!(member.state, State::Draining | State::Drained | State::Stopped);
    out && member.purpose == Some(Purpose::Parked)
}

/// Whether a decision of the planner concerns this instance.
fn concerns(decision: &Decision, key: key::Instance) -> bool {
    match decision {
        Decision::Move { instance, .. }
        | Decision::Park { instance }
        | Decision::Return { instance, .. } => *instance == key,
        _ => false,
    }
}
