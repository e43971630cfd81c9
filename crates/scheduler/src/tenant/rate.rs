//! Tells jobs within the rate of their tenant from those beyond it.

use std::time::Duration;

use fleet::time::Time;

/// Time for which a tenant may send at twice its rate before its jobs are beyond it: callers do not come evenly.
const BURST: Duration = Duration::from_secs(2);

/// Jobs that a tenant may send at once, however low its rate: few callers come the less evenly.
pub const MIN_BURST: f64 = 5.0;

/// Highest rate, in jobs a second.
const MAX_RATE: f64 = 1e6;

/// A token bucket: the jobs that a tenant may send at once without being beyond its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    filled_at: Time,
}

impl Bucket {
    /// The bucket of a tenant with a rate in jobs a second, of which nothing is known before `now`: it is full.
    pub fn open(now: Time, rate: f64) -> Self {
        Self { tokens: depth(rate), filled_at: now }
    }

    /// Whether another job is within the rate.
    pub fn has_token(&self, now: Time, rate: f64) -> bool {
        self.tokens_at(now, rate) >= 1.0
    }

    /// Takes a token for a job; returns whether there was one.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        // Jobs of the terms before are counted when they are restored, in order of their submission.
        let now = now.max(self.filled_at);
        self.tokens = self.tokens_at(now, rate);
        self.filled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Time until the next token; None if none ever comes.
    pub fn wait(&self, now: Time, rate: f64) -> Option<Duration> {
        let missing = (1.0 - self.tokens_at(now, rate)).max(0.0);
        if missing == 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / limited(rate)).ok()
    }

    fn tokens_at(&self, now: Time, rate: f64) -> f64 {
        let filled = now.since(self.filled_at).as_secs_f64() * limited(rate);
        (self.tokens + filled).min(depth(rate))
    }
}

/// Jobs that a tenant may send at once; none without a rate.
fn depth(rate: f64) -> f64 {
    let rate = limited(rate);
    if rate == 0.0 { 0.0 } else { (rate * BURST.as_secs_f64()).max(MIN_BURST) }
}

/// A rate that can be reckoned with, whatever the configuration says.
pub(crate) fn limited(rate: f64) -> f64 {
    if rate.is_nan() { 0.0 } else { rate.clamp(0.0, MAX_RATE) }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Number of jobs within the rate, of those sent every `interval_ms` for a time.
    fn within(rate: f64, interval_ms: u64, total_ms: u64) -> usize {
        let mut bucket = Bucket::open(Time::from_secs(100), rate);
        let times = (0..total_ms / interval_ms).map(|n| n * interval_ms);
        let at = |after| Time::from_secs(100) + Duration::from_millis(after);
        times.filter(|&after| bucket.take(at(after), rate)).count()
    }

    #[test]
    fn all_jobs_at_the_rate_are_within_it() {
        assert_eq!(within(10.0, 100, 60_000), 600);
        assert_eq!(within(0.5, 2_000, 60_000), 30);
    }

    #[test]
    fn three_times_the_rate_is_beyond_it_within_a_second() {
        // 20 tokens at first, and 10 a second.
        assert_eq!(within(10.0, 33, 990), 30 - 1);
        assert_eq!(within(10.0, 33, 6_600), 20 + 65);
    }

    #[test]
    fn a_pause_saves_no_more_than_a_burst() {
        let mut bucket = Bucket::open(Time::ZERO, 5.0);
        let now = Time::from_secs(1_000);
        assert_eq!((0..100).filter(|_| bucket.take(now, 5.0)).count(), 10);
        assert_eq!(bucket.wait(now, 5.0), Some(Duration::from_millis(200)));
    }

    #[test]
    fn without_a_rate_all_is_beyond_it() {
        for rate in [0.0, -3.0, f64::NAN, f64::NEG_INFINITY] {
            assert_eq!(within(rate, 100, 10_000), 0, "{rate}");
            assert_eq!(Bucket::open(Time::ZERO, rate).wait(Time::from_secs(9), rate), None);
        }
        assert_eq!(within(f64::INFINITY, 1, 1_000), 1_000);
    }

    #[test]
    fn a_lower_rate_counts_at_once() {
        let mut bucket = Bucket::open(Time::ZERO, 100.0);
        assert_eq!((0..100).filter(|_| bucket.take(Time::ZERO, 1.0)).count(), 5);
        assert!(!bucket.take(Time::ZERO, 100.0));
    }
}
