//! The clocks of the process. Only these functions read them.

use std::time::Duration;
use std::time::SystemTime;

use fleet::time::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The present time on a steady clock that goes on while the machine is suspended.
pub fn now() -> Time {
    let spec = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(spec.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or_default();
    Time::from_micros(secs * 1_000_000 + nanos / 1_000)
}

/// The time of day, since 1970. It may jump: no lease or deadline rests on it.
#[expect(clippy::disallowed_methods, reason = "the time of day enters here")]
pub fn unix() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}
