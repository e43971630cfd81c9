//! The clocks of the process. No other module of this crate reads a clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fleet::time::Time;

/// The current instant of the monotonic clock.
#[expect(clippy::disallowed_methods, reason = "the process's clock")]
pub fn instant() -> Instant {
    Instant::now()
}

/// Monotonic time since an origin, and the wall clock's time at that origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that counts from `origin`. The wall clock is read only once, here, so that later
    /// adjustments of it have no effect.
    #[expect(clippy::disallowed_methods, reason = "the process's clock")]
    pub fn new(origin: Instant) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { origin, unix: unix.saturating_sub(origin.elapsed()) }
    }

    /// Monotonic time since the origin.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Wall-clock time of the origin, since 1970.
    pub fn unix(&self) -> Duration {
        self.unix
    }
}
