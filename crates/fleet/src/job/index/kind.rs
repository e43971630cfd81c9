//! Statistics of one kind of job in one pool.

use std::collections::BTreeMap;

use super::entry::Completion;
use crate::config::Size;
use crate::key;
use crate::time::Time;

/// Maximum number of succeeded jobs of a kind, the latest ones, from which its size is learned.
const SAMPLE_WINDOW: usize = 16;

/// Minimum number of succeeded jobs of a kind before its size is learned.
const MIN_SAMPLES: usize = 5;

/// Placement and outcomes of one kind of job in one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Kind {
    /// Number of placed attempts by instance.
    pub(crate) placed: BTreeMap<key::Instance, u32>,
    /// Outcomes of its ended attempts by instance.
    tallies: BTreeMap<key::Instance, Tally>,
    /// Number of instances on which all ended attempts failed.
    failing_instances: u32,
    /// Booking of each succeeded job at its end.
    samples: BTreeMap<(Time, key::Job), Size>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    succeeded: u32,
    failed: u32,
}

impl Tally {
    fn only_failed(self) -> bool {
        self.succeeded == 0 && self.failed > 0
    }
}

impl Kind {
    /// Estimated probability, in millionths, that an attempt of this kind fails on a healthy
    /// instance, from the outcomes on every instance but `excluded` by the rule of succession.
    ///
    /// Each instance counts once, however many attempts it ran, since an instance that fails
    /// attempts quickly runs many of them.
    pub(crate) fn failure_probability(&self, excluded: key::Instance) -> u64 {
        let own = self.tallies.get(&excluded).copied().unwrap_or_default();
        let others = self.tallies.len() as u64 - u64::from(self.tallies.contains_key(&excluded));
        let failing_instances = u64::from(self.failing_instances) - u64::from(own.only_failed());
        (failing_instances + 1) * crate::job::size::MILLION / (others + 2)
    }

    /// Maximum booking, in each dimension, of its latest successes; `None` with too few samples.
    pub(crate) fn learned_size(&self) -> Option<Size> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let latest = self.samples.values().rev().take(SAMPLE_WINDOW);
        latest.copied().reduce(Size::component_max)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.tallies.is_empty() && self.samples.is_empty()
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

    pub(super) fn add_completion(&mut self, completion: &Completion) {
        self.update_tally(completion.instance, |tally| match completion.succeeded {
            true => tally.succeeded += 1,
            false => tally.failed += 1,
        });
    }

    pub(super) fn remove_completion(&mut self, completion: &Completion) {
        self.update_tally(completion.instance, |tally| match completion.succeeded {
            true => tally.succeeded -= 1,
            false => tally.failed -= 1,
        });
    }

    pub(super) fn add_sample(&mut self, key: key::Job, (at, booked): (Time, Size)) {
        self.samples.insert((at, key), booked);
    }

    pub(super) fn remove_sample(&mut self, key: key::Job, (at, _): (Time, Size)) {
        self.samples.remove(&(at, key));
    }

    fn update_tally(&mut self, instance: key::Instance, change: impl FnOnce(&mut Tally)) {
        let tally = self.tallies.entry(instance).or_default();
        self.failing_instances -= u32::from(tally.only_failed());
        change(tally);
        self.failing_instances += u32::from(tally.only_failed());
        if *tally == Tally::default() {
            self.tallies.remove(&instance);
        }
    }
}
