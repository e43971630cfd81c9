//! Reads the clock and the size of the process.

use std::time::Duration;
use std::time::Instant;

/// What `work` returns, and how long it took.
#[expect(clippy::disallowed_methods, reason = "a bench measures real time")]
pub(crate) fn time<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed())
}

/// The middle one of `times`, and the longest.
pub(crate) fn middle_and_longest(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Resident memory of this process, kilobytes; 0 where the system does not say.
pub(crate) fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
