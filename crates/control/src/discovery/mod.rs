//! What the instance list says, and how far it is believed.

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

/// How long a list that has lost more than half of what it had must stay so to be believed.
pub const SHRINK_DELAY: Duration = Duration::from_secs(30);

/// The instance list as last believed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Discovery {
    listed: BTreeMap<String, Listed>,
    last_read: Option<Time>,
    /// Since when the list has had less than half of what it had.
    shrunk: Option<Time>,
}

impl Discovery {
    /// Takes in the list as read at `now`. Returns whether it is believed.
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

    /// When the list that is believed was read.
    pub fn last_read(&self) -> Option<Time> {
        self.last_read
    }

    /// Entries with their data centres, by name.
    pub fn entries(&self) -> BTreeMap<String, String> {
        let entries = self.listed.values().filter(|listed| listed.role == Role::Entry);
        entries.map(|listed| (listed.name.clone(), listed.data_centre.clone())).collect()
    }

    /// Where entries listen.
    pub fn addresses(&self) -> Vec<std::net::SocketAddr> {
        let entries = self.listed.values().filter(|listed| listed.role == Role::Entry);
        entries.filter_map(|listed| listed.address.parse().ok()).collect()
    }

    /// Names of the workers that are leaving.
    pub fn leaving(&self) -> BTreeSet<&str> {
        let leaving = self.workers().filter(|listed| listed.leaving);
        leaving.map(|listed| listed.name.as_str()).collect()
    }

    /// What the list says about the members of these pools.
    pub fn facts(&self, world: &World, pools: &BTreeSet<key::Pool>) -> Vec<Fact> {
        if self.last_read.is_none() {
            return Vec::new();
        }
        let members = pools.iter().flat_map(|&pool| world.members(pool));
        members.map(|(key, member)| self.fact(key, member)).collect()
    }

    /// Workers of these pools that the tables lack, or have otherwise.
    pub fn changed_instances(
        &self,
        world: &mut World,
        pools: &BTreeSet<key::Pool>,
    ) -> Vec<Instance> {
        let mut found = Vec::new();
        for listed in self.workers().filter(|listed| !listed.leaving) {
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

    fn workers(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values().filter(|listed| listed.role == Role::Worker)
    }

    fn fact(&self, instance: key::Instance, member: &Instance) -> Fact {
        match self.listed.get(&member.name) {
            Some(listed) => Fact::Listed { instance, leaving: listed.leaving },
            None => Fact::Unlisted(instance),
        }
    }
}

/// The pool that looks after a listed worker: the one that has it, or the one it was started for.
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

fn differs(known: &Instance, listed: &Instance) -> bool {
    known.state == State::Gone
        || known.address != listed.address
        || known.capacity != listed.capacity
        || known.data_centre != listed.data_centre
        || known.rack != listed.rack
}
