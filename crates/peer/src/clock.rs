//! The one place of this crate that reads clocks.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fleet::time::Time;

/// The time since the daemon's origin, whatever steps the wall clock takes.
#[expect(clippy::disallowed_methods, reason = "a clock module")]
pub(crate) fn now(origin: Instant) -> Time {
    Time::ZERO + Instant::now().saturating_duration_since(origin)
}

/// A number that is higher at each start, but for a wall clock that went back: peers then tell.
#[expect(clippy::disallowed_methods, reason = "a clock module")]
pub(crate) fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX).max(1)
}
