//! Index of one instance.

use std::collections::BTreeMap;

use super::entry::Allocation;
use super::entry::Completion;
use crate::config::Size;
use crate::instance::Instance;
use crate::instance::State;
use crate::job::Total;
use crate::key;
use crate::time::Time;

/// Attempts and completions on one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct InstanceIndex {
    /// Attributes of the instance; `None` if only jobs refer to it.
    pub(crate) attributes: Option<Attributes>,
    /// Resources booked in total.
    pub(crate) booked: Total,
    /// The part of `booked` that can't be checkpointed to free capacity.
    pub(crate) non_preemptible: Total,
    /// Resources booked for each job.
    pub(crate) attempts: BTreeMap<key::Job, Size>,
    /// Attempts being checkpointed or stopped: since when, and their booking.
    pub(crate) releasing: BTreeMap<key::Job, (Time, Size)>,
    /// Whether each ended attempt succeeded, by the time at which its end became known, its job and
    /// its number.
    pub(crate) completions: BTreeMap<(Time, key::Job, u32), bool>,
    /// Number of `completions` that failed.
    pub(crate) failed: u32,
}

/// The attributes of an instance that placement depends on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attributes {
    pub(crate) pool: key::Pool,
    pub(crate) rack: key::Rack,
    pub(crate) capacity: Size,
    pub(crate) state: State,
    pub(crate) since: Time,
    pub(crate) epoch: u64,
}

impl Attributes {
    pub(super) fn of(instance: &Instance) -> Self {
        Self {
            pool: instance.pool,
            rack: instance.rack,
            capacity: instance.capacity,
            state: instance.state,
            since: instance.since,
            epoch: instance.epoch,
        }
    }
}

impl InstanceIndex {
    /// Whether it has attempts but accepts no new ones, since it is not serving.
    pub(super) fn is_unavailable(&self) -> bool {
        let serving =
            self.attributes.as_ref().is_some_and(|attributes| attributes.state == State::Serving);
        !serving && !self.attempts.is_empty()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.completions.is_empty()
    }

    pub(super) fn add_attempt(&mut self, key: key::Job, allocation: &Allocation) {
        self.booked.add(allocation.booked);
        if allocation.non_preemptible {
            self.non_preemptible.add(allocation.booked);
        }
        self.attempts.insert(key, allocation.booked);
        if let Some(since) = allocation.releasing {
            self.releasing.insert(key, (since, allocation.booked));
        }
    }

    pub(super) fn remove_attempt(&mut self, key: key::Job, allocation: &Allocation) {
        self.booked.remove(allocation.booked);
        if allocation.non_preemptible {
            self.non_preemptible.remove(allocation.booked);
        }
        self.attempts.remove(&key);
        self.releasing.remove(&key);
    }

    pub(super) fn add_completion(&mut self, key: key::Job, completion: &Completion) {
        self.completions.insert((completion.at, key, completion.number), completion.succeeded);
        self.failed += u32::from(!completion.succeeded);
    }

    pub(super) fn remove_completion(&mut self, key: key::Job, completion: &Completion) {
        self.completions.remove(&(completion.at, key, completion.number));
        self.failed -= u32::from(!completion.succeeded);
    }
}
