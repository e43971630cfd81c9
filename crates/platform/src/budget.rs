//! How many calls a second this entry allows itself, so that a site's entries together stay within
//! what the platform gives.

use std::time::Duration;

use fleet::time::Time;

/// Calls a second that the platform gives to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// Reads a second.
    pub reads: u32,
    /// Writes a second.
    pub writes: u32,
}

impl Default for Site {
    fn default() -> Self {
        Self { reads: 2_000, writes: 300 }
    }
}

/// Tokens that come back at a steady rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    per_sec: f64,
    burst: f64,
    tokens: f64,
    at: Time,
}

impl Bucket {
    /// A full bucket.
    pub fn new(per_sec: f64, burst: f64) -> Self {
        Self { per_sec, burst, tokens: burst, at: Time::ZERO }
    }

    /// Takes a token, or says how long until there is one.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_sec.max(f64::EPSILON)))
    }

    /// Changes the rate from now on. What is left over a smaller burst is lost.
    pub fn set(&mut self, now: Time, per_sec: f64, burst: f64) {
        self.refill(now);
        self.per_sec = per_sec;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.at).as_secs_f64() * self.per_sec;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.at = self.at.max(now);
    }
}

/// What this entry may call a second: its share of the [`Site`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    site: Site,
    entries: u32,
    reads: Bucket,
    writes: Bucket,
}

impl Budget {
    /// Of a second's share, how much may be spent at once.
    const BURST_SECS: f64 = 0.25;

    /// The share of one of `entries`.
    pub fn new(site: Site, entries: u32) -> Self {
        let entries = entries.max(1);
        let (reads, writes) = Self::rates(site, entries);
        let full = |rate| Bucket::new(rate, Self::burst(rate));
        Self { site, entries, reads: full(reads), writes: full(writes) }
    }

    /// Shares the site among `entries` from now on.
    pub fn share(&mut self, now: Time, entries: u32) {
        self.entries = entries.max(1);
        let (reads, writes) = Self::rates(self.site, self.entries);
        self.reads.set(now, reads, Self::burst(reads));
        self.writes.set(now, writes, Self::burst(writes));
    }

    /// Takes a read, or says how long until there is one.
    pub fn read(&mut self, now: Time) -> Result<(), Duration> {
        self.reads.take(now)
    }

    /// Takes a write, or says how long until there is one.
    pub fn write(&mut self, now: Time) -> Result<(), Duration> {
        self.writes.take(now)
    }

    fn rates(site: Site, entries: u32) -> (f64, f64) {
        (f64::from(site.reads) / f64::from(entries), f64::from(site.writes) / f64::from(entries))
    }

    fn burst(rate: f64) -> f64 {
        (rate * Self::BURST_SECS).max(1.0)
    }
}
