//! Clocks of the request path.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fleet::time::Time;

/// Converts between the monotonic clock of the process and [`Time`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that reads [`Time::ZERO`] now.
    pub fn new() -> Self {
        Self { origin: http::clock::now() }
    }

    /// The present time.
    pub fn now(self) -> Time {
        Time::ZERO + http::clock::now().duration_since(self.origin)
    }

    /// Converts `time` to the monotonic clock, which sockets and timers use.
    pub fn instant(self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since the Unix epoch by the system clock. Used only for timestamps in stored rows.
#[expect(clippy::disallowed_methods, reason = "rows outlive processes and their clocks")]
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
