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
    reads: Bucket,
    writes: Bucket,
}

impl Budget {
    /// Of a second's share, how much may be spent at once.
    const BURST_PART: f64 = 0.2;

    /// The share of one of `entries`.
    pub fn new(site: Site, entries: u32) -> Self {
        let entries = entries.max(1);
        let bucket = |site| {
            let (rate, burst) = Self::rate_and_burst(site, entries);
            Bucket::new(rate, burst)
        };
        Self { site, reads: bucket(site.reads), writes: bucket(site.writes) }
    }

    /// Shares the site among `entries` from now on.
    pub fn share(&mut self, now: Time, entries: u32) {
        let entries = entries.max(1);
        let (rate, burst) = Self::rate_and_burst(self.site.reads, entries);
        self.reads.set(now, rate, burst);
        let (rate, burst) = Self::rate_and_burst(self.site.writes, entries);
        self.writes.set(now, rate, burst);
    }

    /// Takes a read, or says how long until there is one.
    pub fn read(&mut self, now: Time) -> Result<(), Duration> {
        self.reads.take(now)
    }

    /// Takes a write, or says how long until there is one.
    pub fn write(&mut self, now: Time) -> Result<(), Duration> {
        self.writes.take(now)
    }

    /// A burst and a second at the rate are together one second's share, so that no second sees
    /// more than the site gives. Only shares below two a second leave that, by a call an entry.
    fn rate_and_burst(site: u32, entries: u32) -> (f64, f64) {
        let share = f64::from(site) / f64::from(entries);
        let burst = (share * Self::BURST_PART).max(1.0);
        ((share - burst).max(share / 2.0), burst)
    }
}
