//! When a write is sent again while its first call is still without an answer.
//!
//! Answers a store that does what it is asked and loses answers: all copies have the same
//! condition, so that one of them is done at most, and any that is answered tells what became of
//! all.

use std::time::Duration;

use fleet::time::Time;

/// How many times its usual time a write may take before a copy follows it.
const PATIENCE: u32 = 5;

/// Shortest time before a copy: what the processor may hold up an answer at a busy moment.
const MIN_PAUSE: Duration = Duration::from_millis(40);

/// Longest time before the first copy: a store that is so slow is left to work.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Longest time between two copies where a write usually takes less: a store that is back is
/// noticed within it.
const STEADY_PAUSE: Duration = Duration::from_millis(100);

/// Copies under way at once: where two in five lose their answers, one write in a thousand still
/// waits until the first is given up.
const MAX_OPEN: usize = 8;

/// What a write usually takes, before any was made.
const FIRST_GUESS: Duration = Duration::from_millis(8);

/// Weight of the newest write in what one usually takes, as a divisor.
const NEWEST: u32 = 4;

/// What a write usually takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latency(Duration);

impl Default for Latency {
    fn default() -> Self {
        Self(FIRST_GUESS)
    }
}

impl Latency {
    /// Notes what the answered copy of a write took.
    pub fn observe(&mut self, took: Duration) {
        self.0 = (self.0 * (NEWEST - 1) + took) / NEWEST;
    }
}

/// The copies of one write.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    pause: Duration,
    last: Time,
    open: usize,
    /// Whether a copy may have been done, or may be later.
    doubt: bool,
}

/// What an answer that is no success means for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has not been done, and never will be.
    Not,
    /// Another copy will tell.
    Open,
}

impl Attempts {
    /// The first copy goes out at `now`.
    pub fn open(now: Time, usual: Latency) -> Self {
        let pause = (usual.0 * PATIENCE).clamp(MIN_PAUSE, MAX_PAUSE);
        Self { pause, last: now, open: 1, doubt: false }
    }

    /// When the next copy is due; none while as many as may be are under way.
    pub fn next_due(&self) -> Option<Time> {
        (self.open < MAX_OPEN).then(|| self.last + self.pause)
    }

    /// Another copy goes out at `now`.
    pub fn send(&mut self, now: Time) {
        self.open += 1;
        self.last = now;
        self.pause = (self.pause * 2).min(STEADY_PAUSE.max(self.pause));
    }

    /// A copy came to nothing at `now`: `unknown` if it may have been done all the same.
    pub fn record_failure(&mut self, now: Time, unknown: bool) -> Outcome {
        self.open -= 1;
        self.doubt |= unknown;
        // The next one is not to follow at once.
        self.last = now;
        if self.open == 0 && !self.doubt { Outcome::Not } else { Outcome::Open }
    }
}
