//! What was asked of the stand-in.

use fleet::time::Time;

/// Calls by second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rate {
    /// All so far.
    pub total: u64,
    /// Most in any second.
    pub peak: u64,
    second: u64,
    in_second: u64,
}

impl Rate {
    /// Counts one call.
    pub(crate) fn count(&mut self, now: Time) {
        self.total += 1;
        self.in_second = self.within(now) + 1;
        self.second = second(now);
        self.peak = self.peak.max(self.in_second);
    }

    /// How many there were in this second.
    pub(crate) fn within(&self, now: Time) -> u64 {
        if self.second == second(now) { self.in_second } else { 0 }
    }
}

fn second(now: Time) -> u64 {
    now.as_micros() / 1_000_000
}

/// What was asked of the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads of the table, the object store and the instance list that were answered.
    pub reads: Rate,
    /// Transactions and objects that were answered or took effect.
    pub writes: Rate,
    /// Calls refused as too much.
    pub throttled: Rate,
    /// Calls refused as down or cut off.
    pub refused: Rate,
}
