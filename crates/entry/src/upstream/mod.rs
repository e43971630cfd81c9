//! Upstreams as one entry knows them, and the choice between them.
//!
//! * [`Upstream`]: its slots, what is in flight there, and its [`Health`].
//! * [`Tiers`]: the upstreams of a service, nearest first.
//! * [`Choice`]: which of them gets the next request.
//!
//! docs/design/routing.md says why.

mod choice;
mod health;

pub use choice::Choice;
pub use choice::Picked;
pub use choice::Reason;
pub use choice::Tiers;
pub use health::Event;
pub use health::Health;
pub use health::Verdict;
pub use health::judge;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;
use fleet::view::Availability;

/// How long a new or readmitted upstream takes to get its full share.
const SLOW_START: Duration = Duration::from_secs(5);

/// First wait after an upstream said that it is full; it doubles up to [`MAX_FULL_WAIT`].
const MIN_FULL_WAIT: Duration = Duration::from_millis(4);
const MAX_FULL_WAIT: Duration = Duration::from_millis(64);

/// An upstream as one entry knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name of the instance.
    pub instance: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether new requests may be sent to it.
    pub standing: Availability,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that this entry may have open to it.
    pub connections: u32,
    /// How many entries share its slots.
    pub entries: u32,
    /// Slots that other entries report in use.
    pub used_elsewhere: u32,
    /// Requests that this entry has in flight there.
    pub in_flight: u32,
    /// What its answers say about it.
    pub health: Health,
    /// Whether its answers name the request that they belong to.
    pub echoes: bool,
    /// Since when it has been getting requests.
    pub serving_since: Option<Time>,
    /// Until when nothing is sent there because it said that it is full.
    pub full_until: Time,
    /// How long it is left alone the next time it says so.
    pub full_wait: Duration,
}

impl Upstream {
    /// An upstream that nothing is known of yet.
    pub fn new(instance: impl Into<String>, address: SocketAddr) -> Self {
        Self {
            instance: instance.into(),
            address,
            data_centre: String::new(),
            standing: Availability::Open,
            slots: 8,
            connections: 64,
            entries: 1,
            used_elsewhere: 0,
            in_flight: 0,
            health: Health::default(),
            echoes: false,
            serving_since: None,
            full_until: Time::ZERO,
            full_wait: MIN_FULL_WAIT,
        }
    }

    /// How many more requests may be sent to it now.
    pub fn room(&self, now: Time) -> u32 {
        if self.standing == Availability::Leaving || now < self.full_until {
            return 0;
        }
        let limit = self.slots_here().min(self.connections).min(self.ramp(now));
        limit.saturating_sub(self.in_flight)
    }

    /// The slots that this entry may count on.
    ///
    /// What others report lags. This entry always keeps its even share, and at least one, so that
    /// a peer that has died with a full report does not lock it out; the upstream itself refuses
    /// what is too much.
    fn slots_here(&self) -> u32 {
        let share = (self.slots / self.entries.max(1)).max(1);
        self.slots.saturating_sub(self.used_elsewhere).max(share)
    }

    /// Slots during slow start: from one up to all.
    fn ramp(&self, now: Time) -> u32 {
        let Some(since) = self.serving_since else { return self.slots };
        let part = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        if part >= 1.0 { self.slots } else { 1 + (f64::from(self.slots - 1) * part) as u32 }
    }

    /// How busy it is: requests known to be there for each slot.
    pub fn pressure(&self, now: Time) -> f64 {
        f64::from(self.in_flight + self.used_elsewhere) / f64::from(self.ramp(now).max(1))
    }

    /// It refused a request because its slots were taken.
    pub fn refused(&mut self, now: Time) {
        self.full_until = now + self.full_wait;
        self.full_wait = (self.full_wait * 2).min(MAX_FULL_WAIT);
    }

    /// It took a request.
    pub fn took(&mut self) {
        self.full_wait = MIN_FULL_WAIT;
    }

    /// Starts slow start afresh.
    pub fn start_slowly(&mut self, now: Time) {
        self.serving_since = Some(now);
    }
}
