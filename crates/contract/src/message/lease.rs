//! Leases: the right to run attempts until a time on the instance's own clock.

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
    /// Identifies a start of the instance's process.
    pub boot: u64,
    /// Time since that start on a monotonic clock, milliseconds.
    pub uptime_ms: u64,
}

/// The right to run attempts until `length_ms` after a time that the instance itself reported.
///
/// The lease starts at the reported time, not when the renewal arrives, so the delay of a renewal
/// does not prolong it. The sender therefore knows when the lease has expired, however long a
/// message was delayed: `length_ms` after the sender received the latest reported time, plus the
/// drift between the two clocks over that span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Start of the lease: `now` of the instance's latest [`Health`](super::Health) or
    /// [`Report`](super::Report).
    pub from: Moment,
    /// Length of the lease from its start, milliseconds.
    pub length_ms: u32,
}

impl Lease {
    /// Creates a lease that starts at a time reported by the instance.
    ///
    /// A `length` over [`u32::MAX`] milliseconds is reduced to that.
    pub fn new(from: Moment, length: Duration) -> Self {
        let length_ms = u32::try_from(length.as_millis()).unwrap_or(u32::MAX);
        Self { from, length_ms }
    }

    /// When the lease expires: uptime of the instance's process, milliseconds.
    pub fn expires_at_ms(self) -> u64 {
        self.from.uptime_ms.saturating_add(u64::from(self.length_ms))
    }

    /// Whether the lease is valid at `now`: for the same boot, and not expired.
    pub fn is_valid_at(self, now: Moment) -> bool {
        self.from.boot == now.boot && now.uptime_ms < self.expires_at_ms()
    }
}

/// Body of `POST lease`: lets the instance run its attempts until the lease expires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Epoch of the instance in the sender's table.
    pub epoch: u64,
    /// The new lease. Ignored if it ends before the present one.
    pub lease: Lease,
}
