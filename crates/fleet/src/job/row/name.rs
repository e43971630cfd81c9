//! Conversion between instance names in rows and keys.

use crate::instance::Instance;
use crate::instance::State;
use crate::key;
use crate::world::Change;
use crate::world::World;

/// The key of an instance. An unknown one is added in the state `Gone`, until its own row is read.
pub(super) fn instance(world: &mut World, pool: key::Pool, name: &str) -> key::Instance {
    if let Some(&key) = world.names.instances.get(name) {
        return key;
    }
    let name = name.to_owned();
    let state = State::Gone;
    world.apply(Change::Instance(Instance {
        name: name.clone(),
        pool,
        state,
        ..Instance::default()
    }));
    world.names.instances[&name]
}

/// The name of an instance; empty if it is no longer in the table.
pub(super) fn of_instance(world: &World, key: key::Instance) -> String {
    world.instances.get(key).map(|value| value.name.clone()).unwrap_or_default()
}
