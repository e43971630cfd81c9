//! What the pools want done: rescue, replacement, moves and parking.
//!
//! Each step looks at one [`Census`] and writes what it decides back into it, so that two pools of
//! one round don't count on the same spare instance.

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

/// Moves that may begin in one round; the rest follow in the next.
const MAX_MOVES: u32 = 8;

/// What these pools want done now.
pub fn plan(world: &World, pools: &BTreeSet<key::Pool>, now: Time) -> Vec<Decision> {
    let mut round = Round {
        world,
        now,
        census: Tally::collect(world, now),
        moves: MAX_MOVES,
        taken: BTreeSet::new(),
        decisions: Vec::new(),
    };
    for &pool in pools {
        round.go_on(pool);
        round.rescue(pool);
    }
    for &pool in pools {
        round.refill(pool);
    }
    for &pool in pools {
        round.settle(pool);
    }
    round.decisions
}

/// One round of planning.
struct Round<'a> {
    world: &'a World,
    now: Time,
    census: Tally,
    /// How many more moves may begin in this round.
    moves: u32,
    /// Instances that something was decided about in this round.
    taken: BTreeSet<key::Instance>,
    decisions: Vec<Decision>,
}

/// What a refill looks for in a donor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// A working pool that holds more than it wants.
    Surplus,
    /// A spare pool.
    Spare,
    /// A working pool that can give one and still survive its next rack failure.
    Able,
}

impl<'a> Round<'a> {
    /// Finishes what was begun: drained instances change hands or are parked, and those whose wave
    /// ended without them go back.
    fn go_on(&mut self, pool: key::Pool) {
        for (instance, member) in self.world.members(pool) {
            let decision = match (member.state, member.purpose) {
                (State::Drained, Some(Purpose::Move { to, reason })) => {
                    Decision::Move { instance, to, reason }
                }
                (State::Drained, Some(Purpose::Parked)) => Decision::Park { instance },
                (State::Draining | State::Drained, Some(Purpose::Wave(mark)))
                    if !is_under_way(self.world, mark) =>
                {
                    Decision::Return { instance, reason: Reason::Wave }
                }
                _ => continue,
            };
            self.decide(instance, decision);
        }
    }

    /// Puts drained instances back while the promise is broken.
    fn rescue(&mut self, pool: key::Pool) {
        let world = self.world;
        for (key, member) in world.members(pool) {
            let Some(standing) = self.census.pool_mut(pool) else {
                return;
            };
            if standing.budget.ready() >= standing.budget.min_ready() {
                return;
            }
            if !is_recallable(member) {
                continue;
            }
            standing.budget.add(member.rack);
            self.decisions.retain(|decision| !is_about(decision, key));
            self.decide(key, Decision::Return { instance: key, reason: Reason::Rescue });
        }
    }

    /// Moves instances in where too few are ready or on the way.
    fn refill(&mut self, key: key::Pool) {
        let Some((pool, weights)) = self.working(key) else {
            return;
        };
        while let Some(reason) = self.shortage(key, pool, weights) {
            if !self.move_in(key, pool, weights, reason) {
                return;
            }
        }
    }

    /// Why the pool should get one more instance now, if it should.
    fn shortage(&self, key: key::Pool, pool: &Pool, weights: Weights) -> Option<Reason> {
        let standing = self.census.pool(key)?;
        let target = Target::regular(pool, standing, weights);
        let soon = standing.budget.ready() + standing.arriving;
        if soon < pool.spec.min_ready && soon + standing.checking < pool.spec.min_ready {
            return Some(Reason::Rescue);
        }
        if standing.expected() < target.required {
            return Some(Reason::Short);
        }
        let short = standing.expected() < target.desired && self.rested(pool, target);
        short.then_some(Reason::Short)
    }

    /// Starts to move the best instance in; false if there is none to be had.
    fn move_in(&mut self, to: key::Pool, pool: &Pool, weights: Weights, reason: Reason) -> bool {
        if self.moves == 0 {
            return false;
        }
        let Some((instance, rack, from)) = self.best_donor(to, pool, weights, reason) else {
            return false;
        };
        self.moves -= 1;
        if let Some(standing) = self.census.pool_mut(from) {
            standing.budget.remove(rack);
        }
        if let Some(standing) = self.census.pool_mut(to) {
            standing.arriving += 1;
        }
        self.decide(instance, Decision::Move { instance, to, reason });
        true
    }

    fn best_donor(
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
            let Some(source) = self.source(from, donor, weights, reason) else {
                continue;
            };
            for (instance, member) in self.world.ready(from) {
                let Some(rank) = self.rank(source, from, to, member) else {
                    continue;
                };
                if self.is_taken(instance) {
                    continue;
                }
                let better = best.as_ref().is_none_or(|(least, ..)| rank < *least);
                if better {
                    best = Some((rank, instance, member.rack, from));
                }
            }
        }
        best.map(|(_, instance, rack, from)| (instance, rack, from))
    }

    /// In which way this pool may give an instance, if it may.
    fn source(
        &self,
        key: key::Pool,
        donor: &Pool,
        weights: Weights,
        reason: Reason,
    ) -> Option<Source> {
        let standing = self.census.pool(key)?;
        if donor.spec.spare {
            return (standing.budget.ready() > donor.spec.min_ready).then_some(Source::Spare);
        }
        let target = Target::regular(donor, standing, weights);
        if standing.expected() > target.desired {
            return Some(Source::Surplus);
        }
        let able = reason == Reason::Rescue && standing.budget.ready() > target.floor;
        able.then_some(Source::Able)
    }

    /// How well this instance would do; less is better. None if its pool may not let it go.
    fn rank(
        &self,
        source: Source,
        from: key::Pool,
        to: key::Pool,
        member: &'a Instance,
    ) -> Option<Rank<'a>> {
        let giver = self.census.pool(from)?;
        let care = if source == Source::Spare { Margin::MinReady } else { Margin::RackFailure };
        giver.budget.check(member.rack, care).ok()?;
        let taker = self.census.pool(to)?;
        let in_rack = taker.budget.in_rack(member.rack);
        let in_data_centre = taker.data_centres.get(&member.data_centre).copied().unwrap_or(0);
        Some(Rank { source, in_rack, in_data_centre, name: &member.name })
    }

    /// Gives surplus away, parks spares and wakes them, once the pool has rested.
    fn settle(&mut self, key: key::Pool) {
        if let Some((pool, weights)) = self.working(key) {
            self.give_away(key, pool, weights);
            return;
        }
        let Some(pool) = self.world.pools.get(key).filter(|pool| pool.spec.spare) else {
            return;
        };
        let target = self.spare_target(pool);
        let Some(standing) = self.census.pool(key) else {
            return;
        };
        let expected = standing.budget.ready() + standing.checking;
        if expected < target.desired {
            self.wake(key, target.desired - expected);
        } else if self.rested(pool, target) {
            self.park(key, target);
        }
    }

    fn give_away(&mut self, key: key::Pool, pool: &Pool, weights: Weights) {
        let Some(standing) = self.census.pool(key) else {
            return;
        };
        let target = Target::regular(pool, standing, weights);
        if standing.budget.ready() <= target.desired || !self.rested(pool, target) {
            return;
        }
        let Some(to) = self.spare_of(pool.organisation) else {
            return;
        };
        let members = self.world.ready(key);
        let free = members.filter(|&(instance, _)| !self.is_taken(instance));
        let fullest = free.max_by_key(|(_, member)| standing.budget.in_rack(member.rack));
        let Some((instance, member)) = fullest else {
            return;
        };
        let allowed = standing.budget.check(member.rack, Margin::RackFailure).is_ok();
        if allowed && self.moves > 0 {
            self.moves -= 1;
            self.decide(instance, Decision::Move { instance, to, reason: Reason::Surplus });
        }
    }

    fn spare_target(&self, spare: &Pool) -> Target {
        let organisation = spare.organisation;
        let weights = self.weights(organisation);
        let mut short = 0;
        for (key, pool) in self.world.pools.iter() {
            let Some(standing) = self.census.pool(key) else {
                continue;
            };
            if pool.organisation == organisation && !pool.spec.spare {
                let target = Target::regular(pool, standing, weights);
                short += target.required.saturating_sub(standing.expected());
            }
        }
        Target::spare(spare, self.census.largest_rack(organisation), short, weights)
    }

    fn wake(&mut self, pool: key::Pool, count: u32) {
        let parked = self.world.members(pool).filter(|(_, member)| is_parked(member));
        for (instance, _) in parked.take(count as usize) {
            self.decisions.retain(|decision| !is_about(decision, instance));
            self.decide(instance, Decision::Return { instance, reason: Reason::Short });
        }
    }

    /// Parks what is beyond the target, the fullest racks first.
    fn park(&mut self, key: key::Pool, target: Target) {
        let Some(mut budget) = self.census.pool(key).map(|standing| standing.budget.clone()) else {
            return;
        };
        while budget.ready() > target.desired {
            let members = self.world.ready(key);
            let free = members.filter(|&(instance, _)| !self.is_taken(instance));
            let fullest = free.max_by_key(|(_, member)| budget.in_rack(member.rack));
            let Some((instance, member)) = fullest else {
                return;
            };
            budget.remove(member.rack);
            self.decide(instance, Decision::Park { instance });
        }
    }

    /// Whether something was decided about this instance in this round.
    fn is_taken(&self, instance: key::Instance) -> bool {
        self.taken.contains(&instance)
    }

    fn decide(&mut self, instance: key::Instance, decision: Decision) {
        self.taken.insert(instance);
        self.decisions.push(decision);
    }

    fn rested(&self, pool: &Pool, target: Target) -> bool {
        self.now.since(pool.changed) >= target.cooldown
    }

    fn working(&self, key: key::Pool) -> Option<(&'a Pool, Weights)> {
        let pool = self.world.pools.get(key)?;
        (!pool.spec.spare).then(|| (pool, self.weights(pool.organisation)))
    }

    fn weights(&self, organisation: key::Organisation) -> Weights {
        self.world.organisations.get(organisation).map(|value| value.weights).unwrap_or_default()
    }

    fn spare_of(&self, organisation: key::Organisation) -> Option<key::Pool> {
        let mut pools = self.world.pools.iter();
        let spare = pools.find(|(_, pool)| pool.organisation == organisation && pool.spec.spare);
        spare.map(|(key, _)| key)
    }
}

/// How well an instance would do as a replacement; less is better.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    source: Source,
    in_rack: u32,
    in_data_centre: u32,
    name: &'a str,
}

/// Whether this run of a wave is still there to go on with what it has out.
fn is_under_way(world: &World, mark: Run) -> bool {
    let wave = world.waves.get(mark.wave);
    wave.is_some_and(|wave| wave.run == mark.number && wave.phase.is_active())
}

/// Whether an instance is out on our own account and not stopped yet.
const fn is_recallable(member: &Instance) -> bool {
    let draining = matches!(member.state, State::Draining | State::Drained);
    let ours =
        matches!(member.purpose, Some(Purpose::Wave(_) | Purpose::Move { .. } | Purpose::Parked));
    draining && ours
}

fn is_parked(member: &Instance) -> bool {
    let out = matches!(member.state, State::Draining | State::Drained | State::Stopped);
    out && member.purpose == Some(Purpose::Parked)
}

fn is_about(decision: &Decision, key: key::Instance) -> bool {
    match decision {
        Decision::Move { instance, .. }
        | Decision::Park { instance }
        | Decision::Return { instance, .. } => *instance == key,
        _ => false,
    }
}
