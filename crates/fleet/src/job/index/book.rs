//! What an index counts for one pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Kind;
use super::Spot;
use super::entry::Entry;
use super::entry::Place;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Job;
use crate::job::Total;
use crate::key;
use crate::time::Time;

/// What an index counts for one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Book {
    /// Its instances.
    pub(crate) nodes: BTreeSet<key::Instance>,
    /// What those that serve can hold in all.
    pub(crate) capacity: Total,
    /// Queued jobs that are alike, oldest first.
    pub(crate) queue: BTreeMap<Group, BTreeSet<(Time, key::Job)>>,
    /// Queued jobs that were tried before, by when they may be tried again.
    pub(crate) retries: BTreeSet<(Time, key::Job)>,
    /// Jobs by when time alone brings on a decision.
    pub(crate) due: BTreeSet<(Time, key::Job)>,
    /// Kinds of job.
    pub(crate) kinds: BTreeMap<Arc<str>, Kind>,
    /// Instances that hold attempts but take no new ones.
    pub(crate) away: BTreeSet<key::Instance>,
    /// Instances where an attempt failed.
    pub(crate) failing: BTreeSet<key::Instance>,
}

/// Jobs that are alike: where one finds no room, no other does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Group {
    pub(crate) priority: Priority,
    pub(crate) team: key::Team,
    pub(crate) kind: Arc<str>,
    pub(crate) need: Size,
}

impl Group {
    pub(crate) fn of(job: &Job) -> Self {
        Self {
            priority: job.spec.priority,
            team: job.team,
            kind: Arc::clone(&job.kind),
            need: job.need,
        }
    }
}

impl Book {
    pub(super) fn is_empty(&self) -> bool {
        self.nodes.is_empty()
            && self.queue.is_empty()
            && self.retries.is_empty()
            && self.due.is_empty()
            && self.kinds.is_empty()
    }

    pub(super) fn put_node(&mut self, key: key::Instance, spot: &Spot) {
        self.nodes.insert(key);
        if spot.state.is_serving() {
            self.capacity.add(spot.capacity);
        }
    }

    pub(super) fn drop_node(&mut self, key: key::Instance, spot: &Spot) {
        if spot.state.is_serving() {
            self.capacity.remove(spot.capacity);
        }
        self.nodes.remove(&key);
        self.away.remove(&key);
        self.failing.remove(&key);
    }

    pub(super) fn put_in(&mut self, key: key::Job, entry: &Entry) {
        match &entry.place {
            Place::Queue(group, submitted) => {
                self.queue.entry(group.clone()).or_default().insert((*submitted, key));
            }
            Place::Retry(at) => {
                self.retries.insert((*at, key));
            }
            Place::Node(placed) => self.kind(entry).place(placed.instance),
            Place::None => {}
        }
        if let Some(due) = entry.due {
            self.due.insert((due, key));
        }
        for verdict in &entry.verdicts {
            self.kind(entry).vote(verdict);
        }
        if let Some(sample) = entry.sample {
            self.kind(entry).put_sample(key, sample);
        }
    }

    pub(super) fn take_out(&mut self, key: key::Job, entry: &Entry) {
        match &entry.place {
            Place::Queue(group, submitted) => self.dequeue(group, (*submitted, key)),
            Place::Retry(at) => {
                self.retries.remove(&(*at, key));
            }
            Place::Node(placed) => self.kind(entry).unplace(placed.instance),
            Place::None => {}
        }
        if let Some(due) = entry.due {
            self.due.remove(&(due, key));
        }
        for verdict in &entry.verdicts {
            self.kind(entry).unvote(verdict);
        }
        if let Some(sample) = entry.sample {
            self.kind(entry).take_sample(key, sample);
        }
        if self.kinds.get(&entry.kind).is_some_and(Kind::is_empty) {
            self.kinds.remove(&entry.kind);
        }
    }

    fn dequeue(&mut self, group: &Group, member: (Time, key::Job)) {
        let Some(members) = self.queue.get_mut(group) else { return };
        members.remove(&member);
        if members.is_empty() {
            self.queue.remove(group);
        }
    }

    fn kind(&mut self, entry: &Entry) -> &mut Kind {
        if !self.kinds.contains_key(&entry.kind) {
            self.kinds.insert(Arc::clone(&entry.kind), Kind::default());
        }
        self.kinds.get_mut(&entry.kind).expect("just put in")
    }
}
