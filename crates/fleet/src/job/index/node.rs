//! What an index counts for one instance.

use std::collections::BTreeMap;

use super::entry::Placed;
use super::entry::Verdict;
use crate::config::Size;
use crate::instance::Instance;
use crate::instance::State;
use crate::job::Total;
use crate::key;
use crate::time::Time;

/// What an index counts for one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Node {
    /// Where it stands; `None` while only jobs speak of it.
    pub(crate) spot: Option<Spot>,
    /// What is booked in all.
    pub(crate) booked: Total,
    /// What of it cannot be checkpointed to make room.
    pub(crate) firm: Total,
    /// What is booked for each job.
    pub(crate) attempts: BTreeMap<key::Job, Size>,
    /// What of it is about to be given up, and since when.
    pub(crate) leaving: BTreeMap<key::Job, (Time, Size)>,
    /// Whether each ended attempt did well, by when that became known.
    pub(crate) verdicts: BTreeMap<(Time, key::Job, u32), bool>,
    /// How many did not.
    pub(crate) failed: u32,
}

/// Where an instance stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Spot {
    pub(crate) pool: key::Pool,
    pub(crate) rack: key::Rack,
    pub(crate) capacity: Size,
    pub(crate) state: State,
    pub(crate) since: Time,
    pub(crate) epoch: u64,
}

impl Spot {
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

impl Node {
    /// Whether it holds attempts but takes no new ones.
    pub(super) fn is_away(&self) -> bool {
        let serving = self.spot.as_ref().is_some_and(|spot| spot.state == State::Serving);
        !serving && !self.attempts.is_empty()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.verdicts.is_empty()
    }

    pub(super) fn put_attempt(&mut self, key: key::Job, placed: &Placed) {
        self.booked.add(placed.booked);
        if placed.firm {
            self.firm.add(placed.booked);
        }
        self.attempts.insert(key, placed.booked);
        if let Some(since) = placed.leaving {
            self.leaving.insert(key, (since, placed.booked));
        }
    }

    pub(super) fn take_attempt(&mut self, key: key::Job, placed: &Placed) {
        self.booked.remove(placed.booked);
        if placed.firm {
            self.firm.remove(placed.booked);
        }
        self.attempts.remove(&key);
        self.leaving.remove(&key);
    }

    pub(super) fn put_verdict(&mut self, key: key::Job, verdict: &Verdict) {
        self.verdicts.insert((verdict.at, key, verdict.number), verdict.good);
        self.failed += u32::from(!verdict.good);
    }

    pub(super) fn take_verdict(&mut self, key: key::Job, verdict: &Verdict) {
        self.verdicts.remove(&(verdict.at, key, verdict.number));
        self.failed -= u32::from(!verdict.good);
    }
}
