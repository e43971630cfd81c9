//! What a trace's events do to a replay.

use std::time::Duration;

use fleet::decision::Decision;
use fleet::instance::Instance;
use fleet::key;
use fleet::pool;
use fleet::pool::Reason;
use fleet::time::Time;
use fleet::wave;
use fleet::world::World;

use super::Replay;
use crate::fake::Machine;
use crate::policy::Decide;
use crate::replica::Replica;
use crate::trace::Act;
use crate::trace::Event;

impl<D: Decide> Replay<D> {
    /// Lets an event happen. What it names and the site doesn't have, is passed over.
    pub(super) fn happen(&mut self, event: &Event, now: Time) {
        match event {
            Event::Fail { what, secs } => self.site.fail(what, *secs, now),
            Event::Stick { instance } => self.site.stick(instance),
            Event::Leave { instance, secs } => self.site.leave(instance, *secs, now),
            Event::StoreDown { secs } => self.store.go_down(now + Duration::from_secs(*secs)),
            Event::Cut { entry, secs } => {
                let until = now + Duration::from_secs(*secs);
                self.site.cut(entry, until);
                self.cut.insert(entry.clone(), (until, self.operator.clone()));
            }
            Event::Handover => self.hand_over(),
            Event::Load { organisation, pool, times, for_ms } => {
                let name = format!("{organisation}/{pool}");
                if let Some(pool) = self::pool(&self.watch.world, &name) {
                    let until = now + Duration::from_millis(*for_ms);
                    self.requests.load(pool, *times, until);
                }
            }
            Event::Jobs(storm) => self.brew(storm, now),
            Event::Cancel { prefix, count } => self.cancel(prefix, *count, now),
            Event::Burn { instance, secs } => {
                self.crew.burn(instance, now + Duration::from_secs(*secs));
            }
            Event::Operator(act) => {
                let decision = decision(&self.operator.world, act);
                self.acts.extend(decision);
            }
        }
    }

    /// New holders start from nothing but the rows.
    fn hand_over(&mut self) {
        for replica in [&mut self.pools, &mut self.waves, &mut self.operator, &mut self.jobs] {
            *replica = Replica::open(&self.config, &self.store);
        }
        self.set_clock();
    }
}

/// What an operator's act asks for.
fn decision(world: &World, act: &Act) -> Option<Decision> {
    let instance = |name: &str| world.names.instances.get(name).copied();
    Some(match act {
        Act::Drain(name) => {
            pool::Decision::Drain { instance: instance(name)?, reason: Reason::Operator }.into()
        }
        Act::Return(name) => {
            pool::Decision::Return { instance: instance(name)?, reason: Reason::Operator }.into()
        }
        Act::Move(name, to) => {
            let (instance, to) = (instance(name)?, pool(world, to)?);
            pool::Decision::Move { instance, to, reason: Reason::Operator }.into()
        }
        Act::WaveStart(name) => wave::Decision::Start { wave: wave(world, name)? }.into(),
        Act::WavePause(name) => wave::Decision::Pause { wave: wave(world, name)? }.into(),
        Act::WaveResume(name) => wave::Decision::Resume { wave: wave(world, name)? }.into(),
        Act::WaveAbort(name) => wave::Decision::Abort { wave: wave(world, name)? }.into(),
    })
}

/// The pool of this name, `organisation/pool`.
pub(super) fn pool(world: &World, name: &str) -> Option<key::Pool> {
    let (organisation, name) = name.split_once('/')?;
    let organisation = *world.names.organisations.get(organisation)?;
    world.names.pools.get(&(organisation, name.to_owned())).copied()
}

fn wave(world: &World, name: &str) -> Option<key::Wave> {
    let (organisation, name) = name.split_once('/')?;
    let organisation = *world.names.organisations.get(organisation)?;
    world.names.waves.get(&(organisation, name.to_owned())).copied()
}

/// A machine as an instance, as the list shows it.
pub(super) fn instance(world: &mut World, machine: &Machine) -> Instance {
    let organisation = world.organisation(&machine.home.0);
    Instance {
        name: machine.name.clone(),
        address: "127.0.0.1:80".to_owned(),
        data_centre: world.data_centre(&machine.data_centre),
        rack: world.rack(&machine.rack),
        pool: world.pool(organisation, &machine.home.1),
        capacity: machine.capacity,
        ..Instance::default()
    }
}
