//! The right to run attempts, counted on the instance's own clock.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// A point on an instance's own clock.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize
)]
#[display("{boot}+{uptime_ms}ms")]
pub struct Moment {
    /// Differs with each start of the instance's process.
    pub boot: u64,
    /// Milliseconds of a monotonic clock since that start.
    pub uptime_ms: u64,
}

/// A right to run until `length_ms` after a moment that the instance itself has named.
///
/// A renewal that arrives late is worth no more than one in time: it counts from the moment that
/// the sender last heard of, not from its arrival. The sender therefore knows when the lease has
/// lapsed for certain, however long a message was under way: `length_ms` after it last heard a
/// moment, plus what the two clocks may differ over that span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// A moment from the instance's latest [`Health`](super::Health) or [`Report`](super::Report).
    pub from: Moment,
    /// How long it holds from there, milliseconds.
    pub length_ms: u32,
}

impl Lease {
    /// A lease of `length` from a moment that the instance named.
    pub fn new(from: Moment, length: Duration) -> Self {
        let length_ms = u32::try_from(length.as_millis()).unwrap_or(u32::MAX);
        Self { from, length_ms }
    }

    /// When it lapses, milliseconds of the uptime of that boot.
    pub fn expires_at_ms(self) -> u64 {
        self.from.uptime_ms.saturating_add(u64::from(self.length_ms))
    }

    /// Whether it holds at `now`: same boot and not lapsed.
    pub fn is_valid_at(self, now: Moment) -> bool {
        self.from.boot == now.boot && now.uptime_ms < self.expires_at_ms()
    }
}

/// Body of `POST lease`: every attempt at the instance may go on until the lease lapses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Epoch of the instance in the sender's table.
    pub epoch: u64,
    /// The new lease; one that ends before the present one changes nothing.
    pub lease: Lease,
}
