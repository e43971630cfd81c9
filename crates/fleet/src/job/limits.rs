//! Limits and timeouts for placing and running jobs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits and timeouts for placing and running jobs, the same in every process of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// How long a worker may run attempts after the latest time on its own clock that it has reported,
    /// milliseconds. The arrival of a renewal does not count.
    pub lease_ms: u32,
    /// Largest drift between the clocks of two control processes, or of one and a worker, over the
    /// length of a lease, milliseconds.
    pub clock_margin_ms: u32,
    /// How long after its start an attempt may be missing from its worker's reports, milliseconds.
    pub start_grace_ms: u32,
    /// How long a checkpoint may take before the attempt is stopped, milliseconds.
    pub checkpoint_grace_ms: u32,
    /// How long a throttled attempt may keep exceeding its booking, milliseconds.
    pub throttle_grace_ms: u32,
    /// Number of attempts that failed, were lost or were stopped for an overrun, each counted
    /// separately, after which an idempotent job is parked.
    pub attempts: u32,
    /// Delay before the first retry, milliseconds; it doubles with each further retry.
    pub backoff_ms: u32,
    /// Maximum delay before a retry, milliseconds.
    pub backoff_max_ms: u32,
    /// How long a job is kept after its end, seconds.
    pub retention_secs: u32,
    /// Maximum number of decisions in one step.
    pub decisions: u32,
    /// Headroom of a pool, percent of its capacity, that borrowing jobs leave free if they cannot be
    /// checkpointed.
    pub headroom_percent: u32,
    /// How long work within its team's quota waits before it preempts borrowing work, seconds.
    pub reclaim_secs: u32,
    /// How long a job waits before an instance is reserved for it, seconds.
    pub reserve_secs: u32,
    /// How long an attempt that cannot be checkpointed may delay a drain before it is stopped,
    /// seconds. Attempts of jobs that may not run twice are never stopped for a drain.
    pub drain_secs: u32,
    /// Minimum time between an attempt's start, or last resize, and a reduction of its booking,
    /// seconds.
    pub correct_secs: u32,
    /// Minimum booking of cores after a resize, percent of the job's need.
    pub least_cores_percent: u32,
    /// Minimum booking of memory after a resize, percent of the job's need.
    pub least_memory_percent: u32,
    /// Maximum booking after a resize, percent of the size declared. The job's need is allowed in any
    /// case.
    pub most_percent: u32,
    /// How far an attempt may exceed its booking before that counts as an overrun, percent.
    pub tolerance_percent: u32,
    /// Workers of a pool that may be in quarantine or on probation at once, percent, but at least
    /// one.
    pub quarantine_percent: u32,
    /// Consecutive failures of different jobs from which a worker may be quarantined.
    pub quarantine_failures: u32,
    /// Maximum probability, in millionths, that a healthy worker has the same failures; a worker
    /// is quarantined at or below it.
    pub quarantine_chance: u32,
    /// Duration of a worker's first quarantine, seconds; it doubles with each further one.
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
    /// How long after the last renewal a worker's lease has certainly expired: the lease plus the
    /// clock margin.
    pub fn certain_expiry(&self) -> Duration {
        millis(self.lease_ms) + millis(self.clock_margin_ms)
    }

    /// Delay before the retry after `failures` failures.
    pub fn backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let wait = self.backoff_ms.saturating_mul(1 << doublings);
        millis(wait.min(self.backoff_max_ms))
    }

    /// Duration of a quarantine after `earlier` previous ones.
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
