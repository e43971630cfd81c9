//! The clocks that the request path runs by.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fleet::time::Time;

/// Turns the process's monotonic clock into [`Time`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts at [`Time::ZERO`] now.
    pub fn new() -> Self {
        Self { origin: http::clock::now() }
    }

    /// The present time.
    pub fn now(self) -> Time {
        Time::ZERO + http::clock::now().duration_since(self.origin)
    }

    /// The same moment on the clock that sockets and timers know.
    pub fn instant(self, time: Time) -> Instant {
        self.origin + time.since(Time::ZERO)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since 1970 by the machine's clock: only for how long rows are kept.
#[expect(clippy::disallowed_methods, reason = "rows outlive processes and their clocks")]
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
