//! The clocks of the process, read by these functions only.

use std::time::Duration;
use std::time::SystemTime;

use fleet::time::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The present time on a monotonic clock that also advances while the machine is suspended.
pub fn now() -> Time {
    let spec = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(spec.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or_default();
    Time::from_micros(secs * 1_000_000 + nanos / 1_000)
}

/// Processor time that this process has used.
pub fn processor() -> Duration {
    let spec = clock_gettime(ClockId::ProcessCPUTime);
    let secs = u64::try_from(spec.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(spec.tv_nsec).unwrap_or_default();
    Duration::from_secs(secs) + Duration::from_nanos(nanos)
}

/// Time since the Unix epoch. It may jump, so no lease or deadline is computed from it.
#[expect(clippy::disallowed_methods, reason = "the time of day enters here")]
pub fn unix() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}
