//! Index of one pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Attributes;
use super::Kind;
use super::entry::Entry;
use super::entry::Location;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Job;
use crate::job::Total;
use crate::key;
use crate::time::Time;

/// Instances, queued jobs and job statistics of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PoolIndex {
    /// Its instances.
    pub(crate) instances: BTreeSet<key::Instance>,
    /// Total capacity of its serving instances.
    pub(crate) capacity: Total,
    /// Queued jobs without a pending retry by class, oldest first.
    pub(crate) queue: BTreeMap<Class, BTreeSet<(Time, key::Job)>>,
    /// Queued jobs that wait for a retry, by the time of the retry.
    pub(crate) retries: BTreeSet<(Time, key::Job)>,
    /// Jobs by the time at which a timeout calls for a decision.
    pub(crate) due: BTreeSet<(Time, key::Job)>,
    /// Statistics by kind of job.
    pub(crate) kinds: BTreeMap<Arc<str>, Kind>,
    /// Instances that have attempts but accept no new ones.
    pub(crate) unavailable: BTreeSet<key::Instance>,
    /// Instances on which an attempt failed.
    pub(crate) failing: BTreeSet<key::Instance>,
}

/// An equivalence class of jobs for placement: where one of them does not fit, none does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Class {
    pub(crate) priority: Priority,
    pub(crate) team: key::Team,
    pub(crate) kind: Arc<str>,
    pub(crate) need: Size,
}

impl Class {
    pub(crate) fn of(job: &Job) -> Self {
        Self {
            priority: job.spec.priority,
            team: job.team,
            kind: Arc::clone(&job.kind),
            need: job.need,
        }
    }
}

impl PoolIndex {
    pub(super) fn is_empty(&self) -> bool {
        self.instances.is_empty()
            && self.queue.is_empty()
            && self.retries.is_empty()
            && self.due.is_empty()
            && self.kinds.is_empty()
    }

    pub(super) fn insert_instance(&mut self, key: key::Instance, attributes: &Attributes) {
        self.instances.insert(key);
        if attributes.state.is_serving() {
            self.capacity.add(attributes.capacity);
        }
    }

    pub(super) fn remove_instance(&mut self, key: key::Instance, attributes: &Attributes) {
        if attributes.state.is_serving() {
            self.capacity.remove(attributes.capacity);
        }
        self.instances.remove(&key);
        self.unavailable.remove(&key);
        self.failing.remove(&key);
    }

    pub(super) fn insert_job(&mut self, key: key::Job, entry: &Entry) {
        match &entry.location {
            Location::Queue(class, submitted) => {
                self.queue.entry(class.clone()).or_default().insert((*submitted, key));
            }
            Location::Retry(at) => {
                self.retries.insert((*at, key));
            }
            Location::Placed(allocation) => self.kind(entry).place(allocation.instance),
            Location::None => {}
        }
        if let Some(due) = entry.due {
            self.due.insert((due, key));
        }
        for completion in &entry.completions {
            self.kind(entry).add_completion(completion);
        }
        if let Some(sample) = entry.sample {
            self.kind(entry).add_sample(key, sample);
        }
    }

    pub(super) fn remove_job(&mut self, key: key::Job, entry: &Entry) {
        match &entry.location {
            Location::Queue(class, submitted) => self.dequeue(class, (*submitted, key)),
            Location::Retry(at) => {
                self.retries.remove(&(*at, key));
            }
            Location::Placed(allocation) => self.kind(entry).unplace(allocation.instance),
            Location::None => {}
        }
        if let Some(due) = entry.due {
            self.due.remove(&(due, key));
        }
        for completion in &entry.completions {
            self.kind(entry).remove_completion(completion);
        }
        if let Some(sample) = entry.sample {
            self.kind(entry).remove_sample(key, sample);
        }
        if self.kinds.get(&entry.kind).is_some_and(Kind::is_empty) {
            self.kinds.remove(&entry.kind);
        }
    }

    fn dequeue(&mut self, class: &Class, member: (Time, key::Job)) {
        let Some(members) = self.queue.get_mut(class) else { return };
        members.remove(&member);
        if members.is_empty() {
            self.queue.remove(class);
        }
    }

    fn kind(&mut self, entry: &Entry) -> &mut Kind {
        if !self.kinds.contains_key(&entry.kind) {
            self.kinds.insert(Arc::clone(&entry.kind), Kind::default());
        }
        self.kinds.get_mut(&entry.kind).expect("the kind was inserted above")
    }
}
