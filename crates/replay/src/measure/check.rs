//! What must never happen.

use std::collections::BTreeMap;

use fleet::decision::Decision;
use fleet::instance::Instance;
use fleet::instance::State;
use fleet::key;
use fleet::pool;
use fleet::pool::Reason;
use fleet::world::Change;
use fleet::world::World;

use crate::replica::Replica;

/// Counts of what must never happen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Check {
    /// Planned stops that left fewer ready than promised.
    pub budget_breaches: u64,
    /// Planned stops after which the next rack's failure would break the promise, although the
    /// pool's size would have allowed to wait for a better moment.
    pub rack_breaches: u64,
    /// Times that an instance was open for work in two pools at once.
    pub two_pools: u64,
    /// Times that a pool's count or list of absences was not that of its members.
    pub miscounts: u64,
}

impl Check {
    /// Looks at a planned stop, right after it was recorded.
    pub fn planned_stop(&mut self, world: &World, decision: &Decision, changes: &[Change]) {
        let Some(instance) = drained(changes) else {
            return;
        };
        let Some(pool) = world.pools.get(instance.pool) else {
            return;
        };
        let racks = racks(world, instance.pool);
        let ready: u32 = racks.values().sum();
        let fullest = racks.values().copied().max().unwrap_or(0);
        if ready < pool.spec.min_ready {
            self.budget_breaches += 1;
        }
        let survives = ready >= pool.spec.min_ready + fullest;
        let alone = ready + 1 >= pool.spec.size;
        let lends_out = pool.spec.spare && is_for_others(decision);
        if !survives && !alone && !lends_out {
            self.rack_breaches += 1;
        }
    }

    /// Looks at the tables: every pool's counts must be those of its members.
    pub fn tables(&mut self, world: &World) {
        for (key, pool) in world.pools.iter() {
            let mut members = 0;
            let mut out = 0;
            for (_, member) in world.members(key) {
                members += 1;
                let listed = pool.absences.contains_key(&member.name);
                out += u32::from(listed);
                if !listed && !member.state.is_serving() {
                    self.miscounts += 1;
                }
            }
            if members != pool.members || out != pool.absences.len() as u32 {
                self.miscounts += 1;
            }
        }
    }

    /// Looks at what several holders and entries believe at one moment.
    pub fn views<'a>(&mut self, replicas: impl Iterator<Item = &'a Replica>) {
        let mut open: BTreeMap<&str, (&str, key::Organisation)> = BTreeMap::new();
        for replica in replicas {
            for (_, instance) in replica.world.instances.iter() {
                let Some(pool) = replica.world.pools.get(instance.pool) else {
                    continue;
                };
                if instance.state != State::Serving {
                    continue;
                }
                let here = (pool.name.as_str(), pool.organisation);
                if *open.entry(&instance.name).or_insert(here) != here {
                    self.two_pools += 1;
                }
            }
        }
    }
}

/// The instance that these changes take out of service on purpose.
pub(super) fn drained(changes: &[Change]) -> Option<&Instance> {
    changes.iter().find_map(|change| match change {
        Change::Instance(instance) if instance.state == State::Draining => {
            (instance.purpose != Some(fleet::instance::Purpose::Leaving)).then_some(instance)
        }
        _ => None,
    })
}

/// A spare pool gives its last spare ones to those in need, and parks them.
const fn is_for_others(decision: &Decision) -> bool {
    matches!(
        decision,
        Decision::Pool(
            pool::Decision::Park { .. }
                | pool::Decision::Move { reason: Reason::Short | Reason::Rescue, .. }
        )
    )
}

/// Ready members of a pool by rack, counted from the instances themselves.
fn racks(world: &World, pool: key::Pool) -> BTreeMap<key::Rack, u32> {
    let out = world.pools.get(pool).map(|pool| pool.absences.clone()).unwrap_or_default();
    let mut racks = BTreeMap::new();
    for (_, instance) in world.instances.iter() {
        let ready = instance.state == State::Serving && !out.contains_key(&instance.name);
        if ready && instance.pool == pool {
            *racks.entry(instance.rack).or_insert(0) += 1;
        }
    }
    racks
}
