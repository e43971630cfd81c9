//! An incrementally updated index of queued jobs, placed attempts and usage by team.
//!
//! An [`Index`] is derived from the [`World`] alone: [`Index::build`] makes an equal one from
//! scratch. It exists so that no step has to scan every job.

mod entry;
mod instance;
mod kind;
mod pool;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use entry::Allocation;
use entry::Entry;
use entry::Location;
pub(crate) use instance::Attributes;
pub(crate) use instance::InstanceIndex;
pub(crate) use kind::Kind;
pub(crate) use pool::Class;
pub(crate) use pool::PoolIndex;

use super::Total;
use crate::key;
use crate::team::Usage;
use crate::world::Change;
use crate::world::World;

/// Queued jobs by pool, attempts by instance and usage by team.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    entries: BTreeMap<key::Job, Entry>,
    job_keys: BTreeMap<String, key::Job>,
    instance_keys: BTreeMap<String, key::Instance>,
    pools: BTreeMap<key::Pool, PoolIndex>,
    instances: BTreeMap<key::Instance, InstanceIndex>,
    used: BTreeMap<key::Team, Usage>,
    /// The part of `used` whose attempts are being checkpointed or stopped.
    releasing: BTreeMap<key::Team, Usage>,
    team_jobs: BTreeMap<key::Team, BTreeSet<key::Job>>,
    awaiting_operator: BTreeSet<key::Job>,
}

impl Index {
    /// The index of everything in `world`.
    pub fn build(world: &World) -> Self {
        let mut index = Self::default();
        for (key, _) in world.instances.iter() {
            index.update_instance(world, key);
        }
        for (key, _) in world.jobs.iter() {
            index.update_job(world, key);
        }
        index
    }

    /// Updates the index for a change that was already applied to `world`.
    pub fn apply(&mut self, world: &World, change: &Change) {
        match change {
            Change::Job(job) => match world.names.jobs.get(&job.name) {
                Some(&key) => self.update_job(world, key),
                None => self.remove_job(&job.name),
            },
            Change::JobGone(name) => self.remove_job(name),
            Change::Instance(instance) => {
                if let Some(&key) = world.names.instances.get(&instance.name) {
                    self.update_instance(world, key);
                }
            }
            Change::InstanceGone(name) => self.remove_instance(name),
            Change::Pool(_) | Change::Wave(_) | Change::Team(_) => {}
            Change::Worker(_) | Change::WorkerGone(_) => {}
        }
    }

    /// Number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_open()).count()
    }

    /// Jobs that have resources booked on an instance, in key order.
    pub fn placed(&self, instance: key::Instance) -> impl Iterator<Item = key::Job> + '_ {
        let instance_index = self.instances.get(&instance);
        instance_index.into_iter().flat_map(|found| found.attempts.keys().copied())
    }

    /// Resources booked on an instance.
    pub fn booked(&self, instance: key::Instance) -> Total {
        self.instances.get(&instance).map(|found| found.booked).unwrap_or_default()
    }

    /// Resources booked for a team's attempts.
    pub fn used(&self, team: key::Team) -> Usage {
        self.used.get(&team).copied().unwrap_or_default()
    }

    /// Resources booked for a team's attempts, without those being checkpointed or stopped.
    pub(crate) fn retained(&self, team: key::Team) -> Usage {
        let used = self.used(team);
        match self.releasing.get(&team) {
            Some(releasing) => used.minus(releasing),
            None => used,
        }
    }

    /// Jobs that need an operator, in key order.
    pub fn awaiting_operator(&self) -> impl Iterator<Item = key::Job> + '_ {
        self.awaiting_operator.iter().copied()
    }

    /// Number of queued jobs of a pool, including those that wait for a retry.
    pub fn queued(&self, pool: key::Pool) -> usize {
        let Some(pool_index) = self.pools.get(&pool) else { return 0 };
        pool_index.queue.values().map(BTreeSet::len).sum::<usize>() + pool_index.retries.len()
    }

    /// The jobs of a team that have not ended, in key order.
    pub fn of_team(&self, team: key::Team) -> impl Iterator<Item = key::Job> + '_ {
        self.team_jobs.get(&team).into_iter().flatten().copied()
    }

    pub(crate) fn pool(&self, pool: key::Pool) -> Option<&PoolIndex> {
        self.pools.get(&pool)
    }

    pub(crate) fn instance(&self, instance: key::Instance) -> Option<&InstanceIndex> {
        self.instances.get(&instance)
    }

    /// Total capacity of the serving instances of each pool.
    pub(crate) fn capacities(&self) -> impl Iterator<Item = (key::Pool, Total)> + '_ {
        self.pools.iter().map(|(&pool, pool_index)| (pool, pool_index.capacity))
    }

    /// The latest failures on an instance without a success in between, newest first: when each
    /// became known, the job, and its entry.
    pub(crate) fn failure_streak<'a>(
        &'a self,
        instance_index: &'a InstanceIndex,
    ) -> impl Iterator<Item = (crate::time::Time, key::Job, &'a Entry)> {
        let newest = instance_index.completions.iter().rev();
        let failures = newest.take_while(|(_, succeeded)| !**succeeded);
        failures.filter_map(|(&(at, job, _), _)| Some((at, job, self.entries.get(&job)?)))
    }

    fn update_job(&mut self, world: &World, key: key::Job) {
        self.remove_entry(key);
        let Some(job) = world.jobs.get(key) else { return };
        self.job_keys.insert(job.name.clone(), key);
        let entry = Entry::of(world, job);
        self.insert_entry(key, &entry);
        self.entries.insert(key, entry);
    }

    fn remove_job(&mut self, name: &str) {
        if let Some(key) = self.job_keys.remove(name) {
            self.remove_entry(key);
        }
    }

    fn insert_entry(&mut self, key: key::Job, entry: &Entry) {
        let pool_index = self.pools.entry(entry.pool).or_default();
        pool_index.insert_job(key, entry);
        if let Location::Placed(allocation) = &entry.location {
            self.used.entry(entry.team).or_default().add(allocation.priority, allocation.booked);
            if allocation.releasing.is_some() {
                let releasing = self.releasing.entry(entry.team).or_default();
                releasing.add(allocation.priority, allocation.booked);
            }
            self.instances.entry(allocation.instance).or_default().add_attempt(key, allocation);
            self.refresh(allocation.instance);
        }
        for completion in &entry.completions {
            self.instances.entry(completion.instance).or_default().add_completion(key, completion);
            self.refresh(completion.instance);
        }
        if entry.needs_operator {
            self.awaiting_operator.insert(key);
        }
        if entry.is_open() {
            self.team_jobs.entry(entry.team).or_default().insert(key);
        }
    }

    fn remove_entry(&mut self, key: key::Job) {
        let Some(entry) = self.entries.remove(&key) else { return };
        if let Some(pool_index) = self.pools.get_mut(&entry.pool) {
            pool_index.remove_job(key, &entry);
        }
        if let Location::Placed(allocation) = &entry.location {
            release(&mut self.used, entry.team, allocation);
            if allocation.releasing.is_some() {
                release(&mut self.releasing, entry.team, allocation);
            }
            if let Some(instance_index) = self.instances.get_mut(&allocation.instance) {
                instance_index.remove_attempt(key, allocation);
            }
            self.refresh(allocation.instance);
        }
        for completion in &entry.completions {
            if let Some(instance_index) = self.instances.get_mut(&completion.instance) {
                instance_index.remove_completion(key, completion);
            }
            self.refresh(completion.instance);
        }
        self.awaiting_operator.remove(&key);
        self.remove_from_team(entry.team, key);
        self.prune(entry.pool);
    }

    fn remove_from_team(&mut self, team: key::Team, key: key::Job) {
        let Some(members) = self.team_jobs.get_mut(&team) else { return };
        members.remove(&key);
        if members.is_empty() {
            self.team_jobs.remove(&team);
        }
    }

    fn update_instance(&mut self, world: &World, key: key::Instance) {
        let Some(instance) = world.instances.get(key) else { return };
        self.instance_keys.insert(instance.name.clone(), key);
        let instance_index = self.instances.entry(key).or_default();
        let attributes = Attributes::of(instance);
        let old = instance_index.attributes.replace(attributes.clone());
        if let Some(old) = old {
            self.remove_from_pool(&old, key);
        }
        self.pools.entry(instance.pool).or_default().insert_instance(key, &attributes);
        self.refresh(key);
    }

    fn remove_instance(&mut self, name: &str) {
        let Some(key) = self.instance_keys.remove(name) else { return };
        let Some(instance_index) = self.instances.get_mut(&key) else { return };
        if let Some(old) = instance_index.attributes.take() {
            self.remove_from_pool(&old, key);
        }
        self.refresh(key);
    }

    fn remove_from_pool(&mut self, attributes: &Attributes, key: key::Instance) {
        if let Some(pool_index) = self.pools.get_mut(&attributes.pool) {
            pool_index.remove_instance(key, attributes);
        }
        self.prune(attributes.pool);
    }

    /// Updates the `unavailable` and `failing` sets of a pool for one instance.
    fn refresh(&mut self, key: key::Instance) {
        let Some(instance_index) = self.instances.get(&key) else { return };
        match &instance_index.attributes {
            Some(attributes) => {
                let pool_index = self.pools.entry(attributes.pool).or_default();
                set_member(&mut pool_index.unavailable, key, instance_index.is_unavailable());
                set_member(&mut pool_index.failing, key, instance_index.failed > 0);
            }
            None if instance_index.is_empty() => {
                self.instances.remove(&key);
            }
            None => {}
        }
    }

    fn prune(&mut self, pool: key::Pool) {
        if self.pools.get(&pool).is_some_and(PoolIndex::is_empty) {
            self.pools.remove(&pool);
        }
    }
}

fn set_member(members: &mut BTreeSet<key::Instance>, key: key::Instance, member: bool) {
    if member {
        members.insert(key);
    } else {
        members.remove(&key);
    }
}

fn release(usages: &mut BTreeMap<key::Team, Usage>, team: key::Team, allocation: &Allocation) {
    let Some(usage) = usages.get_mut(&team) else { return };
    usage.remove(allocation.priority, allocation.booked);
    if usage.is_zero() {
        usages.remove(&team);
    }
}
