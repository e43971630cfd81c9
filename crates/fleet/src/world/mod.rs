//! The tables of all that is known, and the one way in which a change enters them.
//!
//! Systems read a [`World`] and return [`Decision`](crate::decision::Decision)s. Each decision has
//! an effect: a few [`Change`]s, whole new values of entities. A control loop records them in the
//! table service first and then [absorbs](World::absorb) them; a replay absorbs them at once.

use std::collections::BTreeMap;

use crate::config;
use crate::instance;
use crate::job;
use crate::key;
use crate::pool;
use crate::table::Table;
use crate::team;
use crate::wave;

/// An organisation, as the decisions see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// How it weighs costs.
    pub weights: config::Weights,
}

/// A new value of one entity, found by its name.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A new or changed instance.
    Instance(instance::Instance),
    /// A new or changed pool.
    Pool(pool::Pool),
    /// A new or changed wave.
    Wave(wave::Wave),
    /// A new or changed team.
    Team(team::Team),
    /// A new or changed job.
    Job(job::Job),
    /// A job that is over and forgotten.
    JobGone(String),
}

/// Everything that is known, in tables.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// The revision that the specs come from.
    pub revision: config::Revision,
    /// Organisations.
    pub organisations: Table<key::Organisation, Organisation>,
    /// Names of data centres.
    pub data_centres: Table<key::DataCentre, String>,
    /// Names of racks.
    pub racks: Table<key::Rack, String>,
    /// Pools.
    pub pools: Table<key::Pool, pool::Pool>,
    /// Instances.
    pub instances: Table<key::Instance, instance::Instance>,
    /// Teams.
    pub teams: Table<key::Team, team::Team>,
    /// Jobs.
    pub jobs: Table<key::Job, job::Job>,
    /// Waves.
    pub waves: Table<key::Wave, wave::Wave>,
    /// Keys by name.
    pub names: Names,
}

/// Keys by name. Names of pools, teams and waves are taken together with their organisation.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Organisations by name.
    pub organisations: BTreeMap<String, key::Organisation>,
    /// Data centres by name.
    pub data_centres: BTreeMap<String, key::DataCentre>,
    /// Racks by name.
    pub racks: BTreeMap<String, key::Rack>,
    /// Pools by organisation and name.
    pub pools: BTreeMap<(key::Organisation, String), key::Pool>,
    /// Instances by name.
    pub instances: BTreeMap<String, key::Instance>,
    /// Teams by organisation and name.
    pub teams: BTreeMap<(key::Organisation, String), key::Team>,
    /// Jobs by name.
    pub jobs: BTreeMap<String, key::Job>,
    /// Waves by organisation and name.
    pub waves: BTreeMap<(key::Organisation, String), key::Wave>,
}

impl World {
    /// Takes in the new value of an entity and keeps the name index right.
    pub fn absorb(&mut self, change: Change) {
        match change {
            Change::Instance(value) => {
                let name = value.name.clone();
                upsert(&mut self.instances, &mut self.names.instances, name, value);
            }
            Change::Pool(value) => {
                let name = (value.organisation, value.name.clone());
                upsert(&mut self.pools, &mut self.names.pools, name, value);
            }
            Change::Wave(value) => {
                let name = (value.organisation, value.name.clone());
                upsert(&mut self.waves, &mut self.names.waves, name, value);
            }
            Change::Team(value) => {
                let name = (value.organisation, value.name.clone());
                upsert(&mut self.teams, &mut self.names.teams, name, value);
            }
            Change::Job(value) => {
                let name = value.name.clone();
                upsert(&mut self.jobs, &mut self.names.jobs, name, value);
            }
            Change::JobGone(name) => {
                if let Some(key) = self.names.jobs.remove(&name) {
                    self.jobs.remove(key);
                }
            }
        }
    }

    /// The key of the organisation of this name, made where there is none.
    pub fn organisation(&mut self, name: &str) -> key::Organisation {
        if let Some(&key) = self.names.organisations.get(name) {
            return key;
        }
        let value = Organisation { name: name.to_owned(), ..Organisation::default() };
        let key = self.organisations.insert(value);
        self.names.organisations.insert(name.to_owned(), key);
        key
    }

    /// The key of the data centre of this name, made where there is none.
    pub fn data_centre(&mut self, name: &str) -> key::DataCentre {
        intern(&mut self.data_centres, &mut self.names.data_centres, name)
    }

    /// The key of the rack of this name, made where there is none.
    pub fn rack(&mut self, name: &str) -> key::Rack {
        intern(&mut self.racks, &mut self.names.racks, name)
    }

    /// Takes in a configuration: specs of pools, teams and waves are replaced by those of `config`.
    pub fn configure(&mut self, config: &config::Config) {
        if config.revision <= self.revision {
            return;
        }
        self.revision = config.revision;
        for (name, organisation) in &config.organisations {
            self.configure_organisation(name, organisation);
        }
    }

    fn configure_organisation(&mut self, name: &str, spec: &config::Organisation) {
        let organisation = self.organisation(name);
        if let Some(value) = self.organisations.get_mut(organisation) {
            value.weights = spec.weights;
        }
        for (name, spec) in &spec.pools {
            let known = self.names.pools.get(&(organisation, name.clone()));
            let old = known.and_then(|&key| self.pools.get(key)).cloned();
            let new = pool::Pool { name: name.clone(), organisation, ..old.unwrap_or_default() };
            self.absorb(Change::Pool(pool::Pool { spec: spec.clone(), ..new }));
        }
        for (name, spec) in &spec.teams {
            let known = self.names.teams.get(&(organisation, name.clone()));
            let old = known.and_then(|&key| self.teams.get(key)).cloned();
            let new = team::Team { name: name.clone(), organisation, ..old.unwrap_or_default() };
            self.absorb(Change::Team(team::Team { spec: spec.clone(), ..new }));
        }
        for (name, spec) in &spec.waves {
            let known = self.names.waves.get(&(organisation, name.clone()));
            let old = known.and_then(|&key| self.waves.get(key)).cloned();
            let new = wave::Wave { name: name.clone(), organisation, ..old.unwrap_or_default() };
            self.absorb(Change::Wave(wave::Wave { spec: spec.clone(), ..new }));
        }
    }
}

fn upsert<K: key::Key, N: Ord, V>(
    table: &mut Table<K, V>,
    names: &mut BTreeMap<N, K>,
    name: N,
    value: V,
) {
    if let Some(slot) = names.get(&name).and_then(|&key| table.get_mut(key)) {
        *slot = value;
        return;
    }
    let key = table.insert(value);
    names.insert(name, key);
}

fn intern<K: key::Key>(
    table: &mut Table<K, String>,
    names: &mut BTreeMap<String, K>,
    name: &str,
) -> K {
    if let Some(&key) = names.get(name) {
        return key;
    }
    let key = table.insert(name.to_owned());
    names.insert(name.to_owned(), key);
    key
}
