//! Plans decisions that follow from time and free capacity: starts, preemption, evictions,
//! timeouts and quarantine.

mod bin;
mod booking;
mod due;
mod evict;
mod place;
mod preempt;
mod quarantine;
mod queue;
mod score;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub(super) use bin::Bins;
pub(super) use booking::Booking;
pub(super) use quarantine::should_be_quarantined;

use super::Decision;
use super::Index;
use super::Total;
use super::index::PoolIndex;
use crate::key;
use crate::team::Team;
use crate::team::Usage;
use crate::time::Time;
use crate::world::World;

/// Plans one step for `pools` at `now`.
///
/// Each decision of an earlier call must have been applied to `world` and `index`, or dropped for
/// good. The number of decisions is bounded by [`Limits::decisions`](super::Limits::decisions); the
/// rest follow in the next step.
pub fn plan(world: &World, index: &Index, pools: &BTreeSet<key::Pool>, now: Time) -> Vec<Decision> {
    let mut planner = Planner::new(world, index, now);
    let indexes: Vec<_> =
        pools.iter().filter_map(|&pool| Some((pool, index.pool(pool)?))).collect();
    for (pool, pool_index) in &indexes {
        due::run(&mut planner, pool_index);
        evict::run(&mut planner, pool_index);
        quarantine::run(&mut planner, *pool, pool_index);
    }
    for (_, pool_index) in &indexes {
        place::run(&mut planner, pool_index);
    }
    for (_, pool_index) in &indexes {
        due::forget(&mut planner, pool_index);
    }
    planner.decisions
}

/// Inputs and intermediate state of one planning step.
pub(super) struct Planner<'a> {
    pub(super) world: &'a World,
    pub(super) index: &'a Index,
    pub(super) now: Time,
    /// Total capacity of each organisation's serving instances.
    organisation_capacity: BTreeMap<key::Organisation, Total>,
    /// Resources that this step books for each team.
    started: BTreeMap<key::Team, Usage>,
    /// Jobs whose attempts this step preempts.
    preempted: BTreeSet<key::Job>,
    /// Resources that the preempted attempts release, by team.
    released: BTreeMap<key::Team, Usage>,
    /// Instances whose workers this step puts into quarantine.
    quarantined: BTreeSet<key::Instance>,
    decisions: Vec<Decision>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(world: &'a World, index: &'a Index, now: Time) -> Self {
        let (organisation_capacity, started) =
            (organisation_capacity(world, index), BTreeMap::new());
        Self {
            world,
            index,
            now,
            organisation_capacity,
            started,
            preempted: BTreeSet::new(),
            released: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            decisions: Vec::new(),
        }
    }

    /// Resources that a team uses, including those that this step books.
    pub(super) fn used(&self, team: key::Team) -> Usage {
        let used = self.index.used(team);
        match self.started.get(&team) {
            Some(started) => used.plus(started),
            None => used,
        }
    }

    /// Resources booked for a team's attempts, without those being checkpointed or stopped or
    /// preempted by this step.
    fn retained(&self, team: key::Team) -> Usage {
        let retained = self.index.retained(team);
        match self.released.get(&team) {
            Some(released) => retained.minus(released),
            None => retained,
        }
    }

    /// Total capacity of the team's organisation.
    pub(super) fn organisation_capacity(&self, team: &Team) -> Total {
        self.organisation_capacity.get(&team.organisation).copied().unwrap_or_default()
    }

    /// Whether the step has reached its maximum number of decisions.
    fn is_full(&self) -> bool {
        self.decisions.len() >= self.world.limits.decisions as usize
    }
}

/// Total capacity of each organisation's serving instances.
fn organisation_capacity(world: &World, index: &Index) -> BTreeMap<key::Organisation, Total> {
    let mut organisation_capacity: BTreeMap<key::Organisation, Total> = BTreeMap::new();
    for (pool, total) in index.capacities() {
        let Some(pool) = world.pools.get(pool) else { continue };
        let sum = organisation_capacity.entry(pool.organisation).or_default();
        *sum = sum.plus(total);
    }
    organisation_capacity
}

/// The booking for a job's next attempt; `None` if the job is unknown.
fn booking_of<'a>(
    world: &'a World,
    pool_index: &'a PoolIndex,
    job: key::Job,
) -> Option<Booking<'a>> {
    let job = world.jobs.get(job)?;
    Some(Booking::of(world, pool_index, job))
}
