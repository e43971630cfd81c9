//! The only place that reads clocks.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fleet::time::Time;

/// The present moment.
#[expect(clippy::disallowed_methods, reason = "the process's clock")]
pub fn instant() -> Instant {
    Instant::now()
}

/// A process's clock: monotonic from an origin, and what the origin was for people.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that counts from `origin`. The wall clock is read once, here; steps that it makes
    /// later do not matter.
    #[expect(clippy::disallowed_methods, reason = "the process's clock")]
    pub fn new(origin: Instant) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { origin, unix: unix.saturating_sub(origin.elapsed()) }
    }

    /// Monotonic time since the origin.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// The origin, since 1970.
    pub fn unix(&self) -> Duration {
        self.unix
    }
}
