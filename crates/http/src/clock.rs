//! The clock that messages are timed by.

use std::time::Instant;

/// The present time.
#[expect(clippy::disallowed_methods, reason = "the time limits of messages start here")]
pub fn now() -> Instant {
    Instant::now()
}
