//! Effects on the trust in a worker.

use crate::decision::Entity;
use crate::decision::Refusal;
use crate::job::Trust;
use crate::job::Worker;
use crate::key;
use crate::time::Time;
use crate::world::Change;
use crate::world::World;

pub(super) fn quarantine(
    world: &World,
    instance: key::Instance,
    until: Time,
    now: Time,
) -> Result<Change, Refusal> {
    let old = find_worker(world, instance)?;
    if old.trust == Trust::Quarantine {
        return Err(Refusal::Standing(old.instance, old.trust));
    }
    let level = Trust::Quarantine;
    Ok(Change::Worker(Worker {
        trust: level,
        since: now,
        until,
        quarantines: old.quarantines + 1,
        ..old
    }))
}

pub(super) fn probation(
    world: &World,
    instance: key::Instance,
    now: Time,
) -> Result<Change, Refusal> {
    let old = find_worker(world, instance)?;
    if old.trust != Trust::Quarantine {
        return Err(Refusal::Standing(old.instance, old.trust));
    }
    Ok(Change::Worker(Worker { trust: Trust::Probation, since: now, ..old }))
}

pub(super) fn trust(world: &World, instance: key::Instance) -> Result<Change, Refusal> {
    let old = find_worker(world, instance)?;
    if old.trust == Trust::Trusted {
        return Err(Refusal::Standing(old.instance, old.trust));
    }
    Ok(Change::WorkerGone(old.instance))
}

fn find_worker(world: &World, instance: key::Instance) -> Result<Worker, Refusal> {
    let instance = world.instances.get(instance).ok_or(Refusal::Unknown(Entity::Instance))?;
    let trusted = Worker { instance: instance.name.clone(), ..Worker::default() };
    Ok(world.workers.get(&instance.name).cloned().unwrap_or(trusted))
}
