//! The one place of this crate that reads a clock.

use std::time::Instant;

use fleet::time::Time;

/// Tells the time since it was made, whatever steps the wall clock takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    #[expect(clippy::disallowed_methods, reason = "a clock module")]
    pub(crate) fn open() -> Self {
        Self(Instant::now())
    }

    #[expect(clippy::disallowed_methods, reason = "a clock module")]
    pub(crate) fn now(self) -> Time {
        Time::ZERO + Instant::now().saturating_duration_since(self.0)
    }
}
