//! Hedged writes: decides when a write is sent again while earlier attempts are unanswered.
//!
//! Handles a store that performs writes but loses answers. All attempts have the same condition, so
//! that at most one of them takes effect, and one answered attempt reveals the outcome of all.

use std::time::Duration;

use fleet::time::Time;

/// Time before the second attempt, as a multiple of the usual latency of a write.
const DELAY_FACTOR: u32 = 5;

/// Minimum time before the second attempt: a busy processor may delay an answer for as long.
const MIN_DELAY: Duration = Duration::from_millis(40);

/// Maximum time before the second attempt: leaves a slow store time to work.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Maximum time between later attempts, unless the time before the second attempt was longer. A
/// store that answers again is noticed within this time.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of attempts in flight: where two in five answers are lost, one write in a
/// thousand still waits until the first attempt times out.
const MAX_IN_FLIGHT: usize = 8;

/// Latency of a write that is assumed before any was measured.
const INITIAL_LATENCY: Duration = Duration::from_millis(8);

/// Inverse of the weight that the newest latency has in the moving average.
const AVERAGE_WEIGHT: u32 = 4;

/// Usual latency of a write, as an exponential moving average.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latency(Duration);

impl Default for Latency {
    fn default() -> Self {
        Self(INITIAL_LATENCY)
    }
}

impl Latency {
    /// Adds the latency of the answered attempt of a write.
    pub fn observe(&mut self, took: Duration) {
        self.0 = (self.0 * (AVERAGE_WEIGHT - 1) + took) / AVERAGE_WEIGHT;
    }
}

/// The attempts of one write.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Time from `last` to the next attempt.
    delay: Duration,
    /// When an attempt was last sent or failed.
    last: Time,
    in_flight: usize,
    /// Whether a failed attempt may have taken effect, or may still do so.
    unknown: bool,
}

/// What a failed attempt means for the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write has not taken effect, and never will.
    Failed,
    /// Another attempt will reveal the outcome.
    Pending,
}

impl Attempts {
    /// A write whose first attempt is sent at `now`.
    pub fn open(now: Time, usual: Latency) -> Self {
        let delay = (usual.0 * DELAY_FACTOR).clamp(MIN_DELAY, MAX_DELAY);
        Self { delay, last: now, in_flight: 1, unknown: false }
    }

    /// When the next attempt is due; none while the maximum number of attempts is in flight.
    pub fn next_due(&self) -> Option<Time> {
        (self.in_flight < MAX_IN_FLIGHT).then(|| self.last + self.delay)
    }

    /// Records another attempt, sent at `now`.
    pub fn record_sent(&mut self, now: Time) {
        self.in_flight += 1;
        self.last = now;
        self.delay = (self.delay * 2).min(MAX_INTERVAL.max(self.delay));
    }

    /// Records the failure of an attempt at `now`; `unknown` if the attempt may have taken effect
    /// all the same.
    pub fn record_failure(&mut self, now: Time, unknown: bool) -> Outcome {
        self.in_flight -= 1;
        self.unknown |= unknown;
        // The next attempt must not follow at once.
        self.last = now;
        if self.in_flight == 0 && !self.unknown { Outcome::Failed } else { Outcome::Pending }
    }
}
