//! An instance in the scheduler's memory.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

use super::Capacity;
use super::Report;
use super::report::Reading;
use crate::Tuning;
use crate::job::Step;
use crate::job::TaskKey;

/// An instance's place in the arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::From, derive_more::Into)]
pub struct Key(u32);

/// What is booked on an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

/// What the store says of an instance's silence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expiry {
    /// Nothing.
    #[default]
    None,
    /// A write that tells when it lapses is under way.
    Setting,
    /// When it lapses. No grant may be given until that is taken back.
    Set,
    /// A write that takes it back is under way.
    Clearing,
}

/// An instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// What the list says of it.
    pub report: Report,
    /// Whether the list still holds it.
    pub listed: bool,
    /// When the list last held it.
    pub listed_at: Time,
    /// Its life as its own answers tell it; nought before the first.
    pub incarnation: u64,
    /// Its newest clock reading.
    pub reading: Option<Reading>,
    /// Latest grant that may have reached it, on its clock, in milliseconds.
    pub leased_until_ms: u64,
    /// When everything that an earlier scheduler placed there has lapsed.
    pub inherited_until: Time,
    /// How often the fencing token was raised for it within one reign.
    pub token_raises: u32,
    /// Raise at which an order got no answer, until a look at a higher one has shown what came
    /// of it.
    pub outcome_unknown: bool,
    /// Whether it has seen our token and we have seen what runs there.
    pub synced: bool,
    /// Newest end that was taken in.
    pub last_end_seen: u64,
    /// Newest end that the write under way covers.
    pub last_end_writing: u64,
    /// Newest end that the store covers, and that the instance may forget.
    pub last_end_stored: u64,
    /// Tasks that book room there.
    pub tasks: BTreeSet<TaskKey>,
    /// Those of them that were done by another run: this one only has to end.
    pub superseded: BTreeSet<TaskKey>,
    /// What they book.
    pub used: Usage,
    /// When it last answered.
    pub answered_at: Time,
    /// Since when it has not answered, if the last call failed.
    pub unresponsive_since: Option<Time>,
    /// What the store says of its silence.
    pub expiry: Expiry,
    /// Runs that failed in a row.
    pub failures: u32,
    /// Probation served so far, which lengthens the next.
    pub probations: u32,
    /// Until when nothing is placed there; then one task at a time until one is done.
    pub suspended_until: Time,
    /// Whether it is on probation.
    pub on_probation: bool,
    /// Its machine is about to be moved or maintained.
    pub reserved: bool,
}

impl Instance {
    /// An instance that is new to us.
    pub fn new(report: Report, now: Time, inherited_until: Time) -> Self {
        Self {
            report,
            listed: true,
            listed_at: now,
            incarnation: 0,
            reading: None,
            leased_until_ms: 0,
            inherited_until,
            token_raises: 0,
            outcome_unknown: false,
            synced: false,
            last_end_seen: 0,
            last_end_writing: 0,
            last_end_stored: 0,
            tasks: BTreeSet::new(),
            superseded: BTreeSet::new(),
            used: Usage::default(),
            answered_at: now,
            unresponsive_since: None,
            expiry: Expiry::None,
            failures: 0,
            probations: 0,
            suspended_until: Time::ZERO,
            on_probation: false,
            reserved: false,
        }
    }

    /// Books or frees the room of a task.
    pub fn book(&mut self, key: TaskKey, step: &Step, on: bool) {
        let changed = if on { self.tasks.insert(key) } else { self.tasks.remove(&key) };
        if !changed {
            return;
        }
        self.superseded.remove(&key);
        let used = &mut self.used;
        let parts = [
            (&mut used.cpu, step.booked_cpu()),
            (&mut used.memory, step.memory),
            (&mut used.accelerators, step.accelerators),
        ];
        for (used, amount) in parts {
            *used = if on { *used + amount } else { used.saturating_sub(amount) };
        }
    }

    /// Whether there is room for one more task of a step.
    pub const fn has_room(&self, step: &Step) -> bool {
        let capacity: &Capacity = &self.report.capacity;
        self.used.cpu + step.booked_cpu() <= capacity.cpu
            && self.used.memory + step.memory <= capacity.memory
            && self.used.accelerators + step.accelerators <= capacity.accelerators
    }

    /// Whether it could ever hold a task of a step.
    pub fn fits(&self, step: &Step) -> bool {
        let capacity = self.report.capacity;
        step.booked_cpu() <= capacity.cpu
            && step.memory <= capacity.memory
            && step.accelerators <= capacity.accelerators
            && (step.requires.is_empty() || self.report.labels.contains(&step.requires))
    }

    /// Whether new tasks may be placed there.
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.listed
            && !self.report.draining
            && self.synced
            && !self.outcome_unknown
            && !self.reserved
            && self.unresponsive_since.is_none()
            // No lease can be given until the store has taken the mark back.
            && self.expiry == Expiry::None
            && now >= self.suspended_until
            && (!self.on_probation || self.tasks.is_empty())
    }

    /// Whether it is a sound member of its pool, at work or not.
    pub fn is_healthy(&self, now: Time) -> bool {
        self.listed
            && !self.report.draining
            && self.unresponsive_since.is_none()
            && now >= self.suspended_until
    }

    /// Its clock at `now`, at the least.
    pub fn clock_ms(&self, now: Time) -> Option<u64> {
        let reading = self.reading?;
        Some(reading.clock_ms + now.since(reading.at).as_millis() as u64)
    }

    /// The grant to send with a call at `now`, on its clock.
    pub fn lease_ms(&self, now: Time, tuning: &Tuning) -> Option<u64> {
        Some(self.clock_ms(now)? + tuning.lease.as_millis() as u64)
    }

    /// When nothing that was ordered can run there any more, for sure.
    pub fn leases_expire_at(&self, tuning: &Tuning) -> Time {
        let Some(reading) = self.reading else { return self.inherited_until };
        let left = self.leased_until_ms.saturating_sub(reading.clock_ms) as f64;
        let slow = Duration::from_secs_f64(left / 1_000.0 / (1.0 - tuning.clock_drift));
        (reading.at + slow).max(self.inherited_until)
    }

    /// The rack among its labels: the one that its kind does not explain.
    pub fn rack(&self) -> &str {
        self.report.labels.get(1).or(self.report.labels.first()).map_or("", String::as_str)
    }
}
