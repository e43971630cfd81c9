//! Reads the clock and the memory use of the process.

use std::time::Duration;
use std::time::Instant;

/// The result of `work` and the time that it took.
#[expect(clippy::disallowed_methods, reason = "a bench measures real time")]
pub(crate) fn time<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed())
}

/// The median and the maximum of `times`.
pub(crate) fn median_and_max(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Resident memory of this process, kilobytes; 0 if the system does not report it.
pub(crate) fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
