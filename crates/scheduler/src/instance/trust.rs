//! Whether runs on an instance succeed, and whether it gets tasks.

use std::time::Duration;

use fleet::time::Time;

use crate::Tuning;
use crate::job::Id;

/// Maximum number of times that the length of a suspension doubles.
const MAX_DOUBLINGS: u32 = 3;

/// How far an instance is trusted to complete what it starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trust {
    /// Failures in a row; those of one job count once.
    failures: u32,
    /// The job that failed there last, unless a run has succeeded since.
    failed_job: Option<Id>,
    /// Suspensions since two runs in a row succeeded; each one doubles the length of the next.
    suspensions: u32,
    suspended_until: Time,
    /// End of the probation that follows the suspension.
    probation_until: Time,
    /// Whether it takes tasks although it is suspended or on probation, since too little of its pool
    /// is open.
    pub readmitted: bool,
}

impl Trust {
    /// Counts a failure of a run of `job`, or a refusal for being unhealthy. Returns the length of
    /// the suspension that follows, if one does.
    ///
    /// A probation lasts as long as the suspension before it, so that the instance is trusted again
    /// also if nothing is tried on it.
    pub fn record_failure(
        &mut self,
        now: Time,
        job: Option<Id>,
        tuning: &Tuning,
    ) -> Option<Duration> {
        let counted = job.is_some() && self.failed_job == job;
        self.failures += u32::from(!counted);
        self.failed_job = job;
        if self.failures < tuning.max_failures && now >= self.probation_until {
            return None;
        }
        let suspension = tuning.probation * 2_u32.pow(self.suspensions.min(MAX_DOUBLINGS));
        self.suspended_until = now + suspension;
        self.probation_until = self.suspended_until + suspension;
        self.suspensions += 1;
        Some(suspension)
    }

    /// Counts a success, which ends its suspension and probation. Returns whether it was suspended
    /// or on probation.
    pub fn record_success(&mut self, now: Time) -> bool {
        let restored = now < self.probation_until;
        if !restored {
            self.suspensions = 0;
        }
        *self = Self { suspensions: self.suspensions, ..Self::default() };
        restored
    }

    /// Failures in a row; those of one job count once.
    pub const fn failures(&self) -> u32 {
        self.failures
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
