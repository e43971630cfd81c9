//! Counts the ready, expected and absent members of all pools in one pass.

use std::collections::BTreeMap;

use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Budget;
use crate::time::Time;
use crate::wave;
use crate::world::World;

/// Current and expected numbers of instances of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Its availability budget: `min_ready` and the ready members by rack.
    pub budget: Budget,
    /// Serving members by data centre.
    pub data_centres: BTreeMap<key::DataCentre, u32>,
    /// Instances of other pools that are being drained in order to move to this pool.
    pub arriving: u32,
    /// Members that are being health-checked, apart from those that an operator drained.
    pub checking: u32,
    /// Members that a wave is draining, has drained or has stopped, and whose restart isn't overdue.
    pub in_wave: u32,
    /// Members that are parked or being drained to be parked.
    pub parked: u32,
    /// Whether a running wave still has to maintain some of the members.
    pub wave_due: bool,
}

impl Status {
    /// Number of members that are ready or will be, as a result of earlier decisions.
    pub fn expected(&self) -> u32 {
        self.budget.ready() + self.arriving + self.checking + self.in_wave
    }
}

/// The status of every pool.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pools: BTreeMap<key::Pool, Status>,
    /// Serving instances by rack, without those of spare pools.
    racks: BTreeMap<(key::Organisation, key::Rack), u32>,
}

impl Tally {
    /// Counts the instances of all pools in one pass.
    pub fn collect(world: &World, now: Time) -> Self {
        let mut tally = Self::default();
        for (key, _) in world.pools.iter() {
            let budget = Budget::for_pool(world, key).unwrap_or_default();
            tally.pools.insert(key, Status { budget, ..Status::default() });
        }
        for (key, pool) in world.pools.iter() {
            for (_, instance) in world.members(key) {
                tally.count_member(key, pool.organisation, pool.spec.spare, instance);
                tally.count_in_wave(world, key, instance, now);
            }
        }
        for (key, wave) in world.waves.iter() {
            if wave.phase == wave::Phase::Running {
                tally.mark_wave_due(world, key, wave);
            }
        }
        tally
    }

    /// The status of a pool.
    pub fn pool(&self, pool: key::Pool) -> Option<&Status> {
        self.pools.get(&pool)
    }

    /// The status of a pool, to be updated with the decisions of a planning round.
    pub fn pool_mut(&mut self, pool: key::Pool) -> Option<&mut Status> {
        self.pools.get_mut(&pool)
    }

    /// Number of serving instances of the organisation in the rack that has the most of them, without
    /// those of spare pools. The failure of that rack would make them unavailable.
    pub fn largest_rack(&self, organisation: key::Organisation) -> u32 {
        let racks = self.racks.iter().filter(|((other, _), _)| *other == organisation);
        racks.map(|(_, &count)| count).max().unwrap_or(0)
    }

    fn count_member(
        &mut self,
        pool: key::Pool,
        organisation: key::Organisation,
        spare: bool,
        instance: &Instance,
    ) {
        if let Some(Purpose::Move { to, .. }) = instance.purpose
            && let Some(status) = self.pools.get_mut(&to)
        {
            status.arriving += 1;
        }
        if instance.state.is_serving() && !spare {
            *self.racks.entry((organisation, instance.rack)).or_insert(0) += 1;
        }
        let Some(status) = self.pools.get_mut(&pool) else {
            return;
        };
        match (instance.state, instance.purpose) {
            (State::Serving, _) => {
                *status.data_centres.entry(instance.data_centre).or_insert(0) += 1;
            }
            (State::Checking, purpose) if purpose != Some(Purpose::Operator) => {
                status.checking += 1;
            }
            (_, Some(Purpose::Parked)) => status.parked += 1,
            _ => {}
        }
    }

    fn count_in_wave(&mut self, world: &World, pool: key::Pool, instance: &Instance, now: Time) {
        let Some(Purpose::Wave(run)) = instance.purpose else {
            return;
        };
        let is_out = matches!(instance.state, State::Draining | State::Drained | State::Stopped);
        let wave = world.waves.get(run.wave);
        let is_overdue = wave.is_some_and(|wave| wave.is_overdue(instance, now));
        if let Some(status) = self.pools.get_mut(&pool).filter(|_| is_out && !is_overdue) {
            status.in_wave += 1;
        }
    }

    fn mark_wave_due(&mut self, world: &World, key: key::Wave, wave: &wave::Wave) {
        for pool in wave.pools(world) {
            let due = world.members(pool).any(|(_, member)| wave.is_due(key, member));
            if let Some(status) = self.pools.get_mut(&pool) {
                status.wave_due |= due;
            }
        }
    }
}
