//! The store's clock, as far as an answer of the store tells it.

use fleet::time::Time;

/// A reading of the store's clock. The store took it at some moment between the call and the answer, which may be
/// far apart while the store is slow: at any later time the clock is known within bounds only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// What it showed, in milliseconds.
    pub clock_ms: u64,
    /// When the call was sent.
    pub sent: Time,
    /// When the answer was received.
    pub received: Time,
}

impl Reading {
    /// The least that the clock can show at `now`, in milliseconds: for times that must not be late.
    pub fn earliest_ms(&self, now: Time) -> u64 {
        self.clock_ms.saturating_add(now.since(self.received).as_millis() as u64)
    }

    /// The most that the clock can show at `now`, in milliseconds: for times that must not be early.
    pub fn latest_ms(&self, now: Time) -> u64 {
        self.clock_ms.saturating_add(now.since(self.sent).as_millis() as u64)
    }
}
