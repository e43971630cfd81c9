//! Names of instances in rows and the keys that they stand for.

use crate::instance::Instance;
use crate::instance::State;
use crate::key;
use crate::world::Change;
use crate::world::World;

/// The key of an instance. One that is not known is held for gone until its own row comes.
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

/// The name of an instance; empty where it has left the table.
pub(super) fn of_instance(world: &World, key: key::Instance) -> String {
    world.instances.get(key).map(|value| value.name.clone()).unwrap_or_default()
}
