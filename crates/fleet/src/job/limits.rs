//! The limits that the job systems keep to.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The limits that the job systems keep to, the same in every process of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// How long a worker may run attempts after the last moment we heard of it, milliseconds.
    pub lease_ms: u32,
    /// What the clocks of two of our processes, or of one and a worker, may differ by over the
    /// length of a lease, milliseconds.
    pub clock_margin_ms: u32,
    /// How long a started attempt may be missing from its worker's reports, milliseconds.
    pub start_grace_ms: u32,
    /// How long a checkpoint may take before the attempt is stopped, milliseconds.
    pub checkpoint_grace_ms: u32,
    /// How long a throttled attempt may go on using too much, milliseconds.
    pub throttle_grace_ms: u32,
    /// Attempts that may fail before an idempotent job is parked.
    pub attempts: u32,
    /// Wait before the first retry, milliseconds; it doubles with each further one.
    pub backoff_ms: u32,
    /// Longest wait before a retry, milliseconds.
    pub backoff_max_ms: u32,
    /// How long a job that is over stays known, seconds.
    pub retention_secs: u32,
    /// Decisions that one step may take in all.
    pub decisions: u32,
    /// Part of a pool that work which cannot be checkpointed leaves free once its team is over its
    /// quota, hundredths.
    pub headroom_percent: u32,
    /// How long work within its team's quota waits before borrowed room is taken back, seconds.
    pub reclaim_secs: u32,
    /// How long a job waits before an instance is kept free for it, seconds.
    pub reserve_secs: u32,
    /// How long work that cannot be checkpointed may hold up a drain before it is stopped, seconds.
    /// Work that may not run twice is never stopped for it.
    pub drain_secs: u32,
    /// How long an attempt runs before its size is corrected, and between corrections, seconds.
    pub correct_secs: u32,
    /// Least processors that a correction leaves, hundredths of those declared.
    pub least_cores_percent: u32,
    /// Least memory that a correction leaves, hundredths of that declared.
    pub least_memory_percent: u32,
    /// Most that a correction books, hundredths of the size declared.
    pub most_percent: u32,
    /// How much more than booked an attempt may use before it counts as an overrun, hundredths.
    pub tolerance_percent: u32,
    /// Workers of a pool that may be in quarantine or on probation at once, hundredths; one always
    /// may.
    pub quarantine_percent: u32,
    /// Failures of different jobs in a row before a worker is suspected.
    pub quarantine_failures: u32,
    /// Longest chance, in millionths, that a sound worker would have had the same failures.
    pub quarantine_chance: u32,
    /// How long the first quarantine of a worker lasts, seconds; it doubles with each further one.
    pub quarantine_secs: u32,
    /// Successes that end a worker's probation.
    pub probation_successes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_ms: 30_000,
            clock_margin_ms: 2_000,
            start_grace_ms: 3_000,
            checkpoint_grace_ms: 2_000,
            throttle_grace_ms: 10_000,
            attempts: 4,
            backoff_ms: 1_000,
            backoff_max_ms: 60_000,
            retention_secs: 600,
            decisions: 512,
            headroom_percent: 10,
            reclaim_secs: 20,
            reserve_secs: 60,
            drain_secs: 1_800,
            correct_secs: 60,
            least_cores_percent: 50,
            least_memory_percent: 75,
            most_percent: 150,
            tolerance_percent: 10,
            quarantine_percent: 10,
            quarantine_failures: 3,
            quarantine_chance: 1_000,
            quarantine_secs: 600,
            probation_successes: 2,
        }
    }
}

impl Limits {
    /// How long after the last renewal a worker's lease has lapsed for certain.
    pub fn certain_expiry(&self) -> Duration {
        millis(self.lease_ms) + millis(self.clock_margin_ms)
    }

    /// How long to wait before the retry that follows so many failures.
    pub fn backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let wait = self.backoff_ms.saturating_mul(1 << doublings);
        millis(wait.min(self.backoff_max_ms))
    }

    /// How long the quarantine lasts that follows so many earlier ones.
    pub fn quarantine(&self, earlier: u32) -> Duration {
        let doublings = earlier.min(5);
        secs(self.quarantine_secs.saturating_mul(1 << doublings))
    }

    /// [`Self::start_grace_ms`].
    pub fn start_grace(&self) -> Duration {
        millis(self.start_grace_ms)
    }

    /// [`Self::checkpoint_grace_ms`].
    pub fn checkpoint_grace(&self) -> Duration {
        millis(self.checkpoint_grace_ms)
    }

    /// [`Self::throttle_grace_ms`].
    pub fn throttle_grace(&self) -> Duration {
        millis(self.throttle_grace_ms)
    }

    /// [`Self::retention_secs`].
    pub fn retention(&self) -> Duration {
        secs(self.retention_secs)
    }

    /// [`Self::reclaim_secs`].
    pub fn reclaim(&self) -> Duration {
        secs(self.reclaim_secs)
    }

    /// [`Self::reserve_secs`].
    pub fn reserve(&self) -> Duration {
        secs(self.reserve_secs)
    }

    /// [`Self::drain_secs`].
    pub fn drain(&self) -> Duration {
        secs(self.drain_secs)
    }

    /// [`Self::correct_secs`].
    pub fn correct(&self) -> Duration {
        secs(self.correct_secs)
    }
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

fn secs(secs: u32) -> Duration {
    Duration::from_secs(secs.into())
}
