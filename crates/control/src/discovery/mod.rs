//! Discovery of entries and instances from the platform's instance list, where instances have the
//! role `Worker`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::fact::Fact;
use fleet::instance::Instance;
use fleet::instance::State;
use fleet::key;
use fleet::time::Time;
use fleet::world::World;
use platform::instance::Listed;
use platform::instance::Role;

/// How long the list must have fewer than half of the accepted items before it is accepted.
pub const SHRINK_DELAY: Duration = Duration::from_secs(30);

/// The instance list as last accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Discovery {
    listed: BTreeMap<String, Listed>,
    /// When the accepted list was read.
    last_read: Option<Time>,
    /// Since when the list as read has had less than half of the accepted items.
    shrunk: Option<Time>,
}

impl Discovery {
    /// Processes the list as read at `now`. Returns whether it was accepted.
    pub fn update(&mut self, listed: Vec<Listed>, now: Time) -> bool {
        let shrunk = listed.len() * 2 < self.listed.len();
        self.shrunk = shrunk.then(|| self.shrunk.unwrap_or(now));
        if self.shrunk.is_some_and(|since| now.since(since) < SHRINK_DELAY) {
            return false;
        }
        self.shrunk = None;
        self.last_read = Some(now);
        self.listed = listed.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        true
    }

    /// When the accepted list was read.
    pub fn last_read(&self) -> Option<Time> {
        self.last_read
    }

    /// Data centres of the listed entries, by entry name.
    pub fn entries(&self) -> BTreeMap<String, String> {
        let entries = self.listed.values().filter(|listed| listed.role == Role::Entry);
        entries.map(|listed| (listed.name.clone(), listed.data_centre.clone())).collect()
    }

    /// Addresses at which the listed entries listen.
    pub fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let entries = self.listed.values().filter(|listed| listed.role == Role::Entry);
        entries.filter_map(|listed| listed.address.parse().ok()).collect()
    }

    /// Names of the instances that are marked as leaving.
    pub fn leaving(&self) -> BTreeSet<&str> {
        let leaving = self.listed_instances().filter(|listed| listed.leaving);
        leaving.map(|listed| listed.name.as_str()).collect()
    }

    /// Facts about the members of these pools: whether they are listed, and leaving.
    pub fn facts(&self, world: &World, pools: &BTreeSet<key::Pool>) -> Vec<Fact> {
        if self.last_read.is_none() {
            return Vec::new();
        }
        let members = pools.iter().flat_map(|&pool| world.members(pool));
        members.map(|(key, member)| self.fact(key, member)).collect()
    }

    /// Listed instances of these pools that `world` lacks, has in state `Gone` or has with other
    /// properties.
    pub fn changed_instances(
        &self,
        world: &mut World,
        pools: &BTreeSet<key::Pool>,
    ) -> Vec<Instance> {
        let mut found = Vec::new();
        for listed in self.listed_instances().filter(|listed| !listed.leaving) {
            let Some(pool) = pool(world, listed).filter(|pool| pools.contains(pool)) else {
                continue;
            };
            let instance = instance(world, listed, pool);
            let key = world.names.instances.get(&listed.name).copied();
            let known = key.and_then(|key| world.instances.get(key));
            if known.is_none_or(|known| differs(known, &instance)) {
                found.push(instance);
            }
        }
        found
    }

    fn listed_instances(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values().filter(|listed| listed.role == Role::Worker)
    }

    fn fact(&self, instance: key::Instance, member: &Instance) -> Fact {
        match self.listed.get(&member.name) {
            Some(listed) => Fact::Listed { instance, leaving: listed.leaving },
            None => Fact::Unlisted(instance),
        }
    }
}

/// The pool of a listed instance: the one it is recorded in, else the one named in the list.
fn pool(world: &World, listed: &Listed) -> Option<key::Pool> {
    let key = world.names.instances.get(&listed.name);
    let known = key.and_then(|&key| world.instances.get(key));
    if let Some(known) = known.filter(|known| known.state != State::Gone) {
        return Some(known.pool);
    }
    let organisation = *world.names.organisations.get(&listed.organisation)?;
    world.names.pools.get(&(organisation, listed.pool.clone())).copied()
}

fn instance(world: &mut World, listed: &Listed, pool: key::Pool) -> Instance {
    Instance {
        name: listed.name.clone(),
        address: listed.address.clone(),
        data_centre: world.data_centre(&listed.data_centre),
        rack: world.rack(&listed.rack),
        pool,
        capacity: listed.capacity,
        ..Instance::default()
    }
}

/// Whether a listed instance has to be recorded again.
fn differs(known: &Instance, listed: &Instance) -> bool {
    known.state == State::Gone
        || known.address != listed.address
        || known.capacity != listed.capacity
        || known.data_centre != listed.data_centre
        || known.rack != listed.rack
}
