//! What is queued, what runs where and who uses how much, kept up to date change by change.
//!
//! An [`Index`] holds nothing that the [`World`] does not: [`Index::build`] makes an equal one from
//! scratch. It exists so that no step has to look at every job.

mod book;
mod entry;
mod kind;
mod node;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub(crate) use book::Book;
pub(crate) use book::Group;
use entry::Entry;
use entry::Place;
use entry::Placed;
pub(crate) use kind::Kind;
pub(crate) use node::Node;
pub(crate) use node::Spot;

use super::Total;
use crate::key;
use crate::team::Usage;
use crate::world::Change;
use crate::world::World;

/// What is queued, what runs where and who uses how much.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    entries: BTreeMap<key::Job, Entry>,
    names: BTreeMap<String, key::Job>,
    instances: BTreeMap<String, key::Instance>,
    books: BTreeMap<key::Pool, Book>,
    nodes: BTreeMap<key::Instance, Node>,
    teams: BTreeMap<key::Team, Usage>,
    /// What of that is about to be given up.
    leaving: BTreeMap<key::Team, Usage>,
    members: BTreeMap<key::Team, BTreeSet<key::Job>>,
    people: BTreeSet<key::Job>,
}

impl Index {
    /// The index of everything in `world`.
    pub fn build(world: &World) -> Self {
        let mut index = Self::default();
        for (key, _) in world.instances.iter() {
            index.put_instance(world, key);
        }
        for (key, _) in world.jobs.iter() {
            index.put_job(world, key);
        }
        index
    }

    /// Takes in a change that `world` has absorbed already.
    pub fn apply(&mut self, world: &World, change: &Change) {
        match change {
            Change::Job(job) => match world.names.jobs.get(&job.name) {
                Some(&key) => self.put_job(world, key),
                None => self.drop_job(&job.name),
            },
            Change::JobGone(name) => self.drop_job(name),
            Change::Instance(instance) => {
                if let Some(&key) = world.names.instances.get(&instance.name) {
                    self.put_instance(world, key);
                }
            }
            Change::InstanceGone(name) => self.drop_instance(name),
            Change::Pool(_) | Change::Wave(_) | Change::Team(_) => {}
            Change::Worker(_) | Change::WorkerGone(_) => {}
        }
    }

    /// Jobs that are not over.
    pub fn open_jobs(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_open()).count()
    }

    /// Jobs that have room booked at an instance, in key order.
    pub fn placed(&self, instance: key::Instance) -> impl Iterator<Item = key::Job> + '_ {
        let node = self.nodes.get(&instance);
        node.into_iter().flat_map(|node| node.attempts.keys().copied())
    }

    /// What is booked at an instance.
    pub fn booked(&self, instance: key::Instance) -> Total {
        self.nodes.get(&instance).map(|node| node.booked).unwrap_or_default()
    }

    /// What is booked for a team.
    pub fn used(&self, team: key::Team) -> Usage {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// What is booked for those of a team's attempts that are not about to leave.
    pub(crate) fn staying(&self, team: key::Team) -> Usage {
        let used = self.used(team);
        match self.leaving.get(&team) {
            Some(leaving) => used.minus(leaving),
            None => used,
        }
    }

    /// Jobs that wait for a person.
    pub fn awaiting_operator(&self) -> impl Iterator<Item = key::Job> + '_ {
        self.people.iter().copied()
    }

    /// How many jobs of a pool are queued, those that wait for a retry included.
    pub fn queued(&self, pool: key::Pool) -> usize {
        let Some(book) = self.books.get(&pool) else { return 0 };
        book.queue.values().map(BTreeSet::len).sum::<usize>() + book.retries.len()
    }

    /// The jobs of a team that are not over, in key order.
    pub fn of_team(&self, team: key::Team) -> impl Iterator<Item = key::Job> + '_ {
        self.members.get(&team).into_iter().flatten().copied()
    }

    pub(crate) fn book(&self, pool: key::Pool) -> Option<&Book> {
        self.books.get(&pool)
    }

    pub(crate) fn node(&self, instance: key::Instance) -> Option<&Node> {
        self.nodes.get(&instance)
    }

    /// What the serving instances of each pool can hold in all.
    pub(crate) fn capacities(&self) -> impl Iterator<Item = (key::Pool, Total)> + '_ {
        self.books.iter().map(|(&pool, book)| (pool, book.capacity))
    }

    /// Failures in a row at an instance, newest first, with the kind of job that each was of.
    pub(crate) fn streak<'a>(
        &'a self,
        node: &'a Node,
    ) -> impl Iterator<Item = (crate::time::Time, key::Job, &'a Entry)> {
        let newest = node.verdicts.iter().rev();
        let failures = newest.take_while(|(_, good)| !**good);
        failures.filter_map(|(&(at, job, _), _)| Some((at, job, self.entries.get(&job)?)))
    }

    fn put_job(&mut self, world: &World, key: key::Job) {
        self.take_out(key);
        let Some(job) = world.jobs.get(key) else { return };
        self.names.insert(job.name.clone(), key);
        let entry = Entry::of(world, job);
        self.put_in(key, &entry);
        self.entries.insert(key, entry);
    }

    fn drop_job(&mut self, name: &str) {
        if let Some(key) = self.names.remove(name) {
            self.take_out(key);
        }
    }

    fn put_in(&mut self, key: key::Job, entry: &Entry) {
        let book = self.books.entry(entry.pool).or_default();
        book.put_in(key, entry);
        if let Place::Node(placed) = &entry.place {
            self.teams.entry(entry.team).or_default().add(placed.priority, placed.booked);
            if placed.leaving.is_some() {
                let leaving = self.leaving.entry(entry.team).or_default();
                leaving.add(placed.priority, placed.booked);
            }
            self.nodes.entry(placed.instance).or_default().put_attempt(key, placed);
            self.refresh(placed.instance);
        }
        for verdict in &entry.verdicts {
            self.nodes.entry(verdict.instance).or_default().put_verdict(key, verdict);
            self.refresh(verdict.instance);
        }
        if entry.person {
            self.people.insert(key);
        }
        if entry.is_open() {
            self.members.entry(entry.team).or_default().insert(key);
        }
    }

    fn take_out(&mut self, key: key::Job) {
        let Some(entry) = self.entries.remove(&key) else { return };
        if let Some(book) = self.books.get_mut(&entry.pool) {
            book.take_out(key, &entry);
        }
        if let Place::Node(placed) = &entry.place {
            release(&mut self.teams, entry.team, placed);
            if placed.leaving.is_some() {
                release(&mut self.leaving, entry.team, placed);
            }
            if let Some(node) = self.nodes.get_mut(&placed.instance) {
                node.take_attempt(key, placed);
            }
            self.refresh(placed.instance);
        }
        for verdict in &entry.verdicts {
            if let Some(node) = self.nodes.get_mut(&verdict.instance) {
                node.take_verdict(key, verdict);
            }
            self.refresh(verdict.instance);
        }
        self.people.remove(&key);
        self.leave_team(entry.team, key);
        self.prune(entry.pool);
    }

    fn leave_team(&mut self, team: key::Team, key: key::Job) {
        let Some(members) = self.members.get_mut(&team) else { return };
        members.remove(&key);
        if members.is_empty() {
            self.members.remove(&team);
        }
    }

    fn put_instance(&mut self, world: &World, key: key::Instance) {
        let Some(instance) = world.instances.get(key) else { return };
        self.instances.insert(instance.name.clone(), key);
        let node = self.nodes.entry(key).or_default();
        let spot = Spot::of(instance);
        let old = node.spot.replace(spot.clone());
        if let Some(old) = old {
            self.leave_pool(&old, key);
        }
        self.books.entry(instance.pool).or_default().put_node(key, &spot);
        self.refresh(key);
    }

    fn drop_instance(&mut self, name: &str) {
        let Some(key) = self.instances.remove(name) else { return };
        let Some(node) = self.nodes.get_mut(&key) else { return };
        if let Some(old) = node.spot.take() {
            self.leave_pool(&old, key);
        }
        self.refresh(key);
    }

    fn leave_pool(&mut self, spot: &Spot, key: key::Instance) {
        if let Some(book) = self.books.get_mut(&spot.pool) {
            book.drop_node(key, spot);
        }
        self.prune(spot.pool);
    }

    /// Brings a pool's sets of special instances up to date with one instance.
    fn refresh(&mut self, key: key::Instance) {
        let Some(node) = self.nodes.get(&key) else { return };
        match &node.spot {
            Some(spot) => {
                let book = self.books.entry(spot.pool).or_default();
                set(&mut book.away, key, node.is_away());
                set(&mut book.failing, key, node.failed > 0);
            }
            None if node.is_empty() => {
                self.nodes.remove(&key);
            }
            None => {}
        }
    }

    fn prune(&mut self, pool: key::Pool) {
        if self.books.get(&pool).is_some_and(Book::is_empty) {
            self.books.remove(&pool);
        }
    }
}

fn set(members: &mut BTreeSet<key::Instance>, key: key::Instance, member: bool) {
    if member {
        members.insert(key);
    } else {
        members.remove(&key);
    }
}

fn release(usages: &mut BTreeMap<key::Team, Usage>, team: key::Team, placed: &Placed) {
    let Some(usage) = usages.get_mut(&team) else { return };
    usage.remove(placed.priority, placed.booked);
    if usage.is_zero() {
        usages.remove(&team);
    }
}
