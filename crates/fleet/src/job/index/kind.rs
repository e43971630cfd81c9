//! What an index counts for one kind of job in one pool.

use std::collections::BTreeMap;

use super::entry::Verdict;
use crate::config::Size;
use crate::key;
use crate::time::Time;

/// Ended jobs of a kind that its size is learnt from.
const SAMPLES: usize = 16;

/// Ended jobs of a kind before anything is learnt.
const LEAST_SAMPLES: usize = 5;

/// What an index counts for one kind of job in one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Kind {
    /// Attempts by instance.
    pub(crate) placed: BTreeMap<key::Instance, u32>,
    /// How its attempts ended, by instance.
    votes: BTreeMap<key::Instance, Vote>,
    /// Instances where all of them failed.
    bad: u32,
    /// What was booked for each success when it ended.
    samples: BTreeMap<(Time, key::Job), Size>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Vote {
    good: u32,
    failed: u32,
}

impl Vote {
    fn is_bad(self) -> bool {
        self.good == 0 && self.failed > 0
    }
}

impl Kind {
    /// The chance, in millionths, that an attempt of this kind fails at an instance of which
    /// nothing is known, by what happened at every instance but `except`.
    ///
    /// Each instance has one vote, however many attempts it ran: one that fails fast runs many.
    pub(crate) fn failure_chance(&self, except: key::Instance) -> u64 {
        let own = self.votes.get(&except).copied().unwrap_or_default();
        let voters = self.votes.len() as u64 - u64::from(self.votes.contains_key(&except));
        let bad = u64::from(self.bad) - u64::from(own.is_bad());
        (bad + 1) * crate::job::size::MILLION / (voters + 2)
    }

    /// The most that any of its latest successes was booked for at its end.
    pub(crate) fn learnt(&self) -> Option<Size> {
        if self.samples.len() < LEAST_SAMPLES {
            return None;
        }
        let latest = self.samples.values().rev().take(SAMPLES);
        latest.copied().reduce(Size::component_max)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.votes.is_empty() && self.samples.is_empty()
    }

    pub(super) fn place(&mut self, instance: key::Instance) {
        *self.placed.entry(instance).or_default() += 1;
    }

    pub(super) fn unplace(&mut self, instance: key::Instance) {
        let Some(count) = self.placed.get_mut(&instance) else { return };
        *count -= 1;
        if *count == 0 {
            self.placed.remove(&instance);
        }
    }

    pub(super) fn vote(&mut self, verdict: &Verdict) {
        self.change_vote(verdict.instance, |vote| match verdict.good {
            true => vote.good += 1,
            false => vote.failed += 1,
        });
    }

    pub(super) fn unvote(&mut self, verdict: &Verdict) {
        self.change_vote(verdict.instance, |vote| match verdict.good {
            true => vote.good -= 1,
            false => vote.failed -= 1,
        });
    }

    pub(super) fn put_sample(&mut self, key: key::Job, (at, booked): (Time, Size)) {
        self.samples.insert((at, key), booked);
    }

    pub(super) fn take_sample(&mut self, key: key::Job, (at, _): (Time, Size)) {
        self.samples.remove(&(at, key));
    }

    fn change_vote(&mut self, instance: key::Instance, change: impl FnOnce(&mut Vote)) {
        let vote = self.votes.entry(instance).or_default();
        self.bad -= u32::from(vote.is_bad());
        change(vote);
        self.bad += u32::from(vote.is_bad());
        if *vote == Vote::default() {
            self.votes.remove(&instance);
        }
    }
}
