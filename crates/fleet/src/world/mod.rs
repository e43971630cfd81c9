//! The tables of all entities, and how changes are applied to them.
//!
//! Planning functions read a [`World`] and return [`Decision`](crate::decision::Decision)s. The
//! effect of a decision is a list of [`Change`]s, complete new values of entities. A control loop
//! writes them to the table service first and then [applies](World::apply) them; a replay applies
//! them at once.

mod observations;

pub use observations::Observations;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config;
use crate::fact::Fact;
use crate::instance;
use crate::job;
use crate::key;
use crate::pool;
use crate::table::Table;
use crate::team;
use crate::time::Time;
use crate::wave;

/// The attributes of an organisation that planning depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Weights of costs in its decisions.
    pub weights: config::Weights,
}

/// A new value of one entity, which is identified by its name.
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
    /// Deletes the instance with this name.
    InstanceGone(String),
    /// Deletes the job with this name.
    JobGone(String),
    /// A new trust level of a worker.
    Worker(job::Worker),
    /// Restores full trust in the worker of the instance with this name.
    WorkerGone(String),
}

/// The tables of all entities, with the observations and limits that planning needs.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// Revision of the configuration that the specs come from.
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
    /// Trust in workers by the name of their instance. Workers without an entry are trusted.
    pub workers: BTreeMap<String, job::Worker>,
    /// Limits and timeouts for placing and running jobs.
    pub limits: job::Limits,
    /// Identifies this process's clock: a random number, set once at its start. Lease expiries are
    /// only compared with times of the same clock. If this is 0, no lease ever counts as expired.
    pub clock_id: u64,
    /// Keys by name.
    pub names: Names,
    /// Slots lent between pools at present. Each entry decides on them by itself; they are not
    /// stored.
    pub loans: pool::Loans,
    /// Observations that are not stored.
    pub observations: Observations,
    /// Unknown fields of rows, written by a newer version, by row key. They are written back
    /// unchanged.
    pub unknown_fields: BTreeMap<String, serde_json::Map<String, serde_json::Value>>,
    members: BTreeMap<key::Pool, BTreeSet<key::Instance>>,
    booked: BTreeMap<key::Instance, job::Total>,
}

/// Keys by name. Names of pools, teams and waves are only unique within their organisation.
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
    /// Stores the new value of an entity, and updates the keys by name.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Instance(value) => self.apply_instance(value),
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
                self.remove_booking(&value.name);
                self.add_booking(&value);
                let name = value.name.clone();
                upsert(&mut self.jobs, &mut self.names.jobs, name, value);
            }
            Change::InstanceGone(name) => self.forget_instance(&name),
            Change::JobGone(name) => {
                self.remove_booking(&name);
                if let Some(key) = self.names.jobs.remove(&name) {
                    self.jobs.remove(key);
                }
            }
            Change::Worker(value) => {
                self.workers.insert(value.instance.clone(), value);
            }
            Change::WorkerGone(name) => {
                self.workers.remove(&name);
            }
        }
    }

    fn apply_instance(&mut self, value: instance::Instance) {
        let name = value.name.clone();
        let pool = value.pool;
        let is_member = value.state != instance::State::Gone;
        let known = self.names.instances.get(&name).and_then(|&key| self.instances.get(key));
        let old = known.map(|old| old.pool);
        upsert(&mut self.instances, &mut self.names.instances, name.clone(), value);
        let Some(&key) = self.names.instances.get(&name) else {
            return;
        };
        if let Some(members) = old.and_then(|old| self.members.get_mut(&old)) {
            members.remove(&key);
        }
        if is_member {
            self.members.entry(pool).or_default().insert(key);
        }
    }

    fn forget_instance(&mut self, name: &str) {
        let Some(key) = self.names.instances.remove(name) else {
            return;
        };
        if let Some(members) =
            self.instances.remove(key).and_then(|old| self.members.get_mut(&old.pool))
        {
            members.remove(&key);
        }
        self.workers.remove(name);
        self.observations.forget(key);
    }

    /// Resources booked on an instance for the attempts of jobs.
    pub fn booked(&self, instance: key::Instance) -> job::Total {
        self.booked.get(&instance).copied().unwrap_or_default()
    }

    fn add_booking(&mut self, job: &job::Job) {
        if let Some(attempt) = job.state.placed() {
            self.booked.entry(attempt.instance).or_default().add(attempt.booked);
        }
    }

    /// Subtracts the booking of the job with this name.
    fn remove_booking(&mut self, name: &str) {
        let job = self.names.jobs.get(name).and_then(|&key| self.jobs.get(key));
        let Some(attempt) = job.and_then(|job| job.state.placed()).copied() else { return };
        let Some(booked) = self.booked.get_mut(&attempt.instance) else { return };
        booked.remove(attempt.booked);
        if *booked == job::Total::default() {
            self.booked.remove(&attempt.instance);
        }
    }

    /// The trust in an instance's worker.
    pub fn trust(&self, instance: key::Instance) -> job::Trust {
        if self.workers.is_empty() {
            return job::Trust::Trusted;
        }
        let name = self.instances.get(instance).map(|instance| &instance.name);
        let worker = name.and_then(|name| self.workers.get(name));
        worker.map(|worker| worker.trust).unwrap_or_default()
    }

    /// Records the part of a fact that is not stored in rows: demand, health, boots and the entries
    /// that delay drains.
    ///
    /// Every entry calls this for every fact, before [`pool::observe`].
    pub fn record(&mut self, fact: &Fact, now: Time) {
        self.observations.record(fact, now);
    }

    /// The members of a pool, in key order, without those in the state `Gone`.
    pub fn members(
        &self,
        pool: key::Pool,
    ) -> impl Iterator<Item = (key::Instance, &instance::Instance)> {
        let keys = self.members.get(&pool).into_iter().flatten();
        keys.filter_map(|&key| Some((key, self.instances.get(key)?)))
    }

    /// The members of a pool that count as ready, in key order.
    pub fn ready(
        &self,
        pool: key::Pool,
    ) -> impl Iterator<Item = (key::Instance, &instance::Instance)> {
        let value = self.pools.get(pool);
        let is_absent =
            move |name: &str| value.is_none_or(|value| value.absences.contains_key(name));
        self.members(pool)
            .filter(move |(_, member)| member.state.is_serving() && !is_absent(&member.name))
    }

    /// The key of the pool with this name, which is added if it does not exist.
    pub fn pool(&mut self, organisation: key::Organisation, name: &str) -> key::Pool {
        let known = self.names.pools.get(&(organisation, name.to_owned()));
        if let Some(&key) = known {
            return key;
        }
        let value = pool::Pool { name: name.to_owned(), organisation, ..pool::Pool::default() };
        let key = self.pools.insert(value);
        self.names.pools.insert((organisation, name.to_owned()), key);
        key
    }

    /// The key of the team with this name, which is added if it does not exist.
    pub fn team(&mut self, organisation: key::Organisation, name: &str) -> key::Team {
        let known = self.names.teams.get(&(organisation, name.to_owned()));
        if let Some(&key) = known {
            return key;
        }
        let value = team::Team { name: name.to_owned(), organisation, ..team::Team::default() };
        let key = self.teams.insert(value);
        self.names.teams.insert((organisation, name.to_owned()), key);
        key
    }

    /// The key of the wave with this name, which is added if it does not exist.
    pub fn wave(&mut self, organisation: key::Organisation, name: &str) -> key::Wave {
        let known = self.names.waves.get(&(organisation, name.to_owned()));
        if let Some(&key) = known {
            return key;
        }
        let value = wave::Wave { name: name.to_owned(), organisation, ..wave::Wave::default() };
        let key = self.waves.insert(value);
        self.names.waves.insert((organisation, name.to_owned()), key);
        key
    }

    /// The key of the organisation with this name, which is added if it does not exist.
    pub fn organisation(&mut self, name: &str) -> key::Organisation {
        if let Some(&key) = self.names.organisations.get(name) {
            return key;
        }
        let value = Organisation { name: name.to_owned(), ..Organisation::default() };
        let key = self.organisations.insert(value);
        self.names.organisations.insert(name.to_owned(), key);
        key
    }

    /// The key of the data centre with this name, which is added if it does not exist.
    pub fn data_centre(&mut self, name: &str) -> key::DataCentre {
        intern(&mut self.data_centres, &mut self.names.data_centres, name)
    }

    /// The key of the rack with this name, which is added if it does not exist.
    pub fn rack(&mut self, name: &str) -> key::Rack {
        intern(&mut self.racks, &mut self.names.racks, name)
    }

    /// Replaces the specs of pools, teams and waves by those of `config`, if its revision is newer.
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
        for (name, pool) in &spec.pools {
            self.pool(organisation, name);
            let slots = spec.services.values().filter(|service| service.pool == *name);
            let slots = slots.map(|service| service.slots).max().unwrap_or(0);
            self.configure_pool(organisation, name, pool, slots);
        }
        for (name, spec) in &spec.teams {
            let known = self.names.teams.get(&(organisation, name.clone()));
            let old = known.and_then(|&key| self.teams.get(key)).cloned();
            let new = team::Team { name: name.clone(), organisation, ..old.unwrap_or_default() };
            self.apply(Change::Team(team::Team { spec: spec.clone(), ..new }));
        }
        for (name, wave) in &spec.waves {
            let key = self.wave(organisation, name);
            if let Some(value) = self.waves.get_mut(key) {
                value.spec = wave.clone();
            }
        }
        self.reset_removed_specs(organisation, spec);
    }

    fn configure_pool(
        &mut self,
        organisation: key::Organisation,
        name: &str,
        spec: &config::Pool,
        slots: u32,
    ) {
        let key = self.pool(organisation, name);
        if let Some(value) = self.pools.get_mut(key) {
            value.spec = spec.clone();
            value.slots = slots;
        }
    }

    /// Resets the specs of pools and waves that are no longer configured. All members of such a pool
    /// are then surplus, and a running wave finishes once none of its instances are in maintenance.
    fn reset_removed_specs(
        &mut self,
        organisation: key::Organisation,
        spec: &config::Organisation,
    ) {
        for (_, pool) in self.pools.iter_mut() {
            if pool.organisation == organisation && !spec.pools.contains_key(&pool.name) {
                pool.spec = config::Pool::default();
            }
        }
        for (_, wave) in self.waves.iter_mut() {
            if wave.organisation == organisation && !spec.waves.contains_key(&wave.name) {
                wave.spec = config::Wave::default();
            }
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
