//! Whether runs on an instance succeed, and whether it gets tasks.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

use crate::Tuning;
use crate::job::Id;

/// Maximum number of times that the length of a suspension doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Number of weak failures that weigh as much as a strong one.
const WEAK_PER_FAILURE: usize = 2;

/// What failed on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A run of a job, or several.
    Job(Id),
    /// A run of a job that has also failed on several other instances, so that it may be at fault
    /// itself. Weak.
    Suspect(Id),
    /// A start, which the instance refused for being unhealthy.
    Refusal,
    /// A start without an answer, which may have been lost on the way. Weak.
    Silence,
}

/// How far an instance is trusted to complete what it starts.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    /// Jobs that have failed there since a run succeeded.
    failed_jobs: BTreeSet<Id>,
    /// Suspect jobs that have failed there since a run succeeded.
    suspect_jobs: BTreeSet<Id>,
    /// Refused starts since a run succeeded.
    refusals: usize,
    /// Starts without an answer since a run succeeded.
    silences: usize,
    /// Suspensions since two runs in a row succeeded; each one doubles the length of the next.
    suspensions: u32,
    suspended_at: Time,
    suspended_until: Time,
    /// End of the probation that follows the suspension.
    probation_until: Time,
    /// Whether it takes tasks although it is suspended or on probation, since too little of its pool
    /// is open.
    pub readmitted: bool,
}

impl Trust {
    /// Counts a failure of what began at `began`. Returns the length of the suspension that follows,
    /// if one does: a run that began before a suspension does not extend it.
    ///
    /// A probation lasts as long as the suspension before it, so that the instance is trusted again
    /// also if nothing is tried on it.
    pub fn record_failure(
        &mut self,
        now: Time,
        failure: Failure,
        began: Time,
        tuning: &Tuning,
    ) -> Option<Duration> {
        match failure {
            Failure::Job(id) => {
                self.failed_jobs.insert(id);
            }
            Failure::Suspect(id) => {
                self.suspect_jobs.insert(id);
            }
            Failure::Refusal => self.refusals += 1,
            Failure::Silence => self.silences += 1,
        }
        let closed = now < self.probation_until;
        let on_trial = closed && began >= self.suspended_at;
        let too_many = !closed && self.failures() >= tuning.max_failures;
        if !on_trial && !too_many {
            return None;
        }
        let suspension = tuning.probation * 2_u32.pow(self.suspensions.min(MAX_DOUBLINGS));
        self.suspended_at = now;
        self.suspended_until = now + suspension;
        self.probation_until = self.suspended_until + suspension;
        self.suspensions += 1;
        Some(suspension)
    }

    /// Counts a success, which ends its suspension and probation. Returns whether it was suspended
    /// or on probation.
    pub fn record_success(&mut self, now: Time) -> bool {
        let restored = now < self.probation_until;
        let suspensions = if restored { self.suspensions } else { 0 };
        *self = Self { suspensions, ..Self::default() };
        restored
    }

    /// Number of failures since a run succeeded; those of one job count once.
    pub fn failures(&self) -> u32 {
        let weak = (self.suspect_jobs.len() + self.silences) / WEAK_PER_FAILURE;
        (self.failed_jobs.len() + self.refusals + weak) as u32
    }

    /// When its suspension ends.
    pub const fn suspended_until(&self) -> Time {
        self.suspended_until
    }

    /// Whether it is suspended: it gets no tasks.
    pub fn is_suspended(&self, now: Time) -> bool {
        now < self.suspended_until
    }

    /// Whether it is on probation: it gets one task that ends at a time.
    pub fn is_on_probation(&self, now: Time) -> bool {
        now >= self.suspended_until && now < self.probation_until
    }
}
