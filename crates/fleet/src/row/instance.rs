//! The row of an instance.

use serde::Deserialize;
use serde::Serialize;

use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Reason;
use crate::row::size::Size;
use crate::time::Time;
use crate::wave::Run;
use crate::world::World;

/// The stored form of an [`Instance`], with names in place of keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Row {
    address: String,
    data_centre: String,
    rack: String,
    pool: ScopedName,
    capacity: Size,
    state: State,
    since: Time,
    epoch: u64,
    enlisted: Time,
    purpose: Option<PurposeRow>,
    strikes: u32,
    maintained: Time,
    #[serde(rename = "mark")]
    last_run: Option<RunName>,
}

/// The name of a pool or wave, together with the name of its organisation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct ScopedName {
    organisation: String,
    name: String,
}

/// The stored form of a [`Run`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct RunName {
    wave: ScopedName,
    run: u64,
}

/// The stored form of a [`Purpose`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "for")]
enum PurposeRow {
    Wave { run: RunName },
    Move { to: ScopedName, reason: Reason },
    Operator,
    Leaving,
    Parked,
}

impl Row {
    pub(super) fn new(world: &World, value: &Instance) -> Self {
        Self {
            address: value.address.clone(),
            data_centre: world.data_centres.get(value.data_centre).cloned().unwrap_or_default(),
            rack: world.racks.get(value.rack).cloned().unwrap_or_default(),
            pool: ScopedName::of_pool(world, value.pool),
            capacity: value.capacity.into(),
            state: value.state,
            since: value.since,
            epoch: value.epoch,
            enlisted: value.enlisted,
            purpose: value.purpose.map(|purpose| PurposeRow::new(world, purpose)),
            strikes: value.strikes,
            maintained: value.maintained,
            last_run: value.last_run.map(|run| RunName::new(world, run)),
        }
    }

    pub(super) fn into_instance(self, world: &mut World, name: &str) -> Instance {
        Instance {
            name: name.to_owned(),
            address: self.address,
            data_centre: world.data_centre(&self.data_centre),
            rack: world.rack(&self.rack),
            pool: self.pool.resolve_pool(world),
            capacity: self.capacity.into(),
            state: self.state,
            since: self.since,
            epoch: self.epoch,
            enlisted: self.enlisted,
            purpose: self.purpose.map(|purpose| purpose.resolve(world)),
            strikes: self.strikes,
            maintained: self.maintained,
            last_run: self.last_run.map(|run| run.resolve(world)),
        }
    }
}

impl ScopedName {
    fn new(world: &World, organisation: key::Organisation, name: &str) -> Self {
        let organisation = world.organisations.get(organisation);
        let organisation = organisation.map(|value| value.name.clone()).unwrap_or_default();
        Self { organisation, name: name.to_owned() }
    }

    fn of_pool(world: &World, key: key::Pool) -> Self {
        let pool = world.pools.get(key);
        pool.map(|pool| Self::new(world, pool.organisation, &pool.name)).unwrap_or_default()
    }

    fn resolve_pool(&self, world: &mut World) -> key::Pool {
        let organisation = world.organisation(&self.organisation);
        world.pool(organisation, &self.name)
    }
}

impl RunName {
    fn new(world: &World, run: Run) -> Self {
        let wave = world.waves.get(run.wave);
        let wave = wave.map(|wave| ScopedName::new(world, wave.organisation, &wave.name));
        Self { wave: wave.unwrap_or_default(), run: run.number }
    }

    fn resolve(&self, world: &mut World) -> Run {
        let organisation = world.organisation(&self.wave.organisation);
        Run { wave: world.wave(organisation, &self.wave.name), number: self.run }
    }
}

impl PurposeRow {
    fn new(world: &World, purpose: Purpose) -> Self {
        match purpose {
            Purpose::Wave(run) => Self::Wave { run: RunName::new(world, run) },
            Purpose::Move { to, reason } => {
                Self::Move { to: ScopedName::of_pool(world, to), reason }
            }
            Purpose::Operator => Self::Operator,
            Purpose::Leaving => Self::Leaving,
            Purpose::Parked => Self::Parked,
        }
    }

    fn resolve(&self, world: &mut World) -> Purpose {
        match self {
            Self::Wave { run } => Purpose::Wave(run.resolve(world)),
            Self::Move { to, reason } => {
                Purpose::Move { to: to.resolve_pool(world), reason: *reason }
            }
            Self::Operator => Purpose::Operator,
            Self::Leaving => Purpose::Leaving,
            Self::Parked => Purpose::Parked,
        }
    }
}
