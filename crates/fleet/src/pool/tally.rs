//! One pass over an organisation's pools: who is ready, on the way, or out, and what for.

use std::collections::BTreeMap;

use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Budget;
use crate::time::Time;
use crate::wave;
use crate::world::World;

/// How a pool stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Its ready members by rack.
    pub budget: Budget,
    /// Ready members by data centre.
    pub data_centres: BTreeMap<key::DataCentre, u32>,
    /// Instances of other pools that are being drained for it.
    pub arriving: u32,
    /// Members that are up again or new, and being checked.
    pub checking: u32,
    /// Members that a wave has out and that are expected back in time.
    pub in_wave: u32,
    /// Spare members that are parked or on the way to it.
    pub parked: u32,
    /// Whether a wave under way still has members of it to take out.
    pub wave_due: bool,
}

impl Status {
    /// Members that are ready or will be without any further decision.
    pub fn expected(&self) -> u32 {
        self.budget.ready() + self.arriving + self.checking + self.in_wave
    }
}

/// How each pool stands.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pools: BTreeMap<key::Pool, Status>,
    racks: BTreeMap<(key::Organisation, key::Rack), u32>,
}

impl Tally {
    /// Counts everything, in one pass over the instances.
    pub fn collect(world: &World, now: Time) -> Self {
        let mut census = Self::default();
        for (key, _) in world.pools.iter() {
            let budget = Budget::for_pool(world, key).unwrap_or_default();
            census.pools.insert(key, Status { budget, ..Status::default() });
        }
        for (key, pool) in world.pools.iter() {
            for (_, instance) in world.members(key) {
                census.count(key, pool.organisation, pool.spec.spare, instance);
                census.count_out(world, key, instance, now);
            }
        }
        for (key, wave) in world.waves.iter() {
            if wave.phase == wave::Phase::Running {
                census.count_wave(world, key, wave);
            }
        }
        census
    }

    /// How this pool stands.
    pub fn pool(&self, pool: key::Pool) -> Option<&Status> {
        self.pools.get(&pool)
    }

    /// How this pool stands, to try things out on.
    pub fn pool_mut(&mut self, pool: key::Pool) -> Option<&mut Status> {
        self.pools.get_mut(&pool)
    }

    /// The most working instances, outside of the spare pools, that one rack of the organisation
    /// has: what its failure would take.
    pub fn largest_rack(&self, organisation: key::Organisation) -> u32 {
        let racks = self.racks.iter().filter(|((other, _), _)| *other == organisation);
        racks.map(|(_, &count)| count).max().unwrap_or(0)
    }

    fn count(
        &mut self,
        pool: key::Pool,
        organisation: key::Organisation,
        spare: bool,
        instance: &Instance,
    ) {
        if let Some(Purpose::Move { to, .. }) = instance.purpose
            && let Some(standing) = self.pools.get_mut(&to)
        {
            standing.arriving += 1;
        }
        if instance.state.is_serving() && !spare {
            *self.racks.entry((organisation, instance.rack)).or_insert(0) += 1;
        }
        let Some(standing) = self.pools.get_mut(&pool) else {
            return;
        };
        match (instance.state, instance.purpose) {
            (State::Serving, _) => {
                *standing.data_centres.entry(instance.data_centre).or_insert(0) += 1;
            }
            (State::Checking, purpose) if purpose != Some(Purpose::Operator) => {
                standing.checking += 1;
            }
            (_, Some(Purpose::Parked)) => standing.parked += 1,
            _ => {}
        }
    }

    fn count_out(&mut self, world: &World, pool: key::Pool, instance: &Instance, now: Time) {
        let Some(Purpose::Wave(mark)) = instance.purpose else {
            return;
        };
        let out = matches!(instance.state, State::Draining | State::Drained | State::Stopped);
        let wave = world.waves.get(mark.wave);
        let overdue = wave.is_some_and(|wave| wave.is_overdue(instance, now));
        if let Some(standing) = self.pools.get_mut(&pool).filter(|_| out && !overdue) {
            standing.in_wave += 1;
        }
    }

    fn count_wave(&mut self, world: &World, key: key::Wave, wave: &wave::Wave) {
        for pool in wave.pools(world) {
            let due = world.members(pool).any(|(_, member)| wave.is_due(key, member));
            if let Some(standing) = self.pools.get_mut(&pool) {
                standing.wave_due |= due;
            }
        }
    }
}
