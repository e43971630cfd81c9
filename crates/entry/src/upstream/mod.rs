//! Upstreams as one entry knows them, and the choice between them.
//!
//! * [`Upstream`]: its slots, what is in flight there, and its [`Health`].
//! * [`Tiers`]: the upstreams of a service, nearest first.
//! * [`Policy`]: which of them gets the next request.
//!
//! docs/design/routing.md says why.

mod health;
mod policy;

pub use health::Event;
pub use health::Health;
pub use health::Transition;
pub use health::record_event;
pub use policy::Picked;
pub use policy::Policy;
pub use policy::Reason;
pub use policy::Tiers;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;
use fleet::view::Availability;

/// How long a new or readmitted upstream takes to get its full share.
const SLOW_START: Duration = Duration::from_secs(5);

/// First wait after an upstream said that it is full; it doubles up to [`MAX_FULL_WAIT`].
const MIN_FULL_BACKOFF: Duration = Duration::from_millis(4);
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(64);

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
    pub availability: Availability,
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
    pub echoes_id: bool,
    /// Since when it has been getting requests.
    pub serving_since: Option<Time>,
    /// Until when nothing is sent there because it said that it is full.
    pub full_until: Time,
    /// How long it is left alone the next time it says so.
    pub full_backoff: Duration,
}

impl Upstream {
    /// An upstream that nothing is known of yet.
    pub fn new(instance: impl Into<String>, address: SocketAddr) -> Self {
        Self {
            instance: instance.into(),
            address,
            data_centre: String::new(),
            availability: Availability::Open,
            slots: 8,
            connections: 64,
            entries: 1,
            used_elsewhere: 0,
            in_flight: 0,
            health: Health::default(),
            echoes_id: false,
            serving_since: None,
            full_until: Time::ZERO,
            full_backoff: MIN_FULL_BACKOFF,
        }
    }

    /// How many more requests may be sent to it now.
    pub fn headroom(&self, now: Time) -> u32 {
        if self.availability == Availability::Leaving || now < self.full_until {
            return 0;
        }
        let limit = self.usable_slots().min(self.connections).min(self.slow_start_slots(now));
        limit.saturating_sub(self.in_flight)
    }

    /// The slots that this entry may count on.
    ///
    /// What others report lags. This entry always keeps its even share, and at least one, so that
    /// a peer that has died with a full report does not lock it out; the upstream itself refuses
    /// what is too much.
    fn usable_slots(&self) -> u32 {
        let share = (self.slots / self.entries.max(1)).max(1);
        self.slots.saturating_sub(self.used_elsewhere).max(share)
    }

    /// Slots during slow start: from one up to all.
    fn slow_start_slots(&self, now: Time) -> u32 {
        let Some(since) = self.serving_since else { return self.slots };
        let part = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        if part >= 1.0 { self.slots } else { 1 + (f64::from(self.slots - 1) * part) as u32 }
    }

    /// How busy it is: requests known to be there for each slot.
    pub fn utilization(&self, now: Time) -> f64 {
        f64::from(self.in_flight + self.used_elsewhere)
            / f64::from(self.slow_start_slots(now).max(1))
    }

    /// It refused a request because its slots were taken.
    pub fn refused(&mut self, now: Time) {
        self.full_until = now + self.full_backoff;
        self.full_backoff = (self.full_backoff * 2).min(MAX_FULL_BACKOFF);
    }

    /// It took a request.
    pub fn accepted(&mut self) {
        self.full_backoff = MIN_FULL_BACKOFF;
    }

    /// Starts slow start afresh.
    pub fn begin_slow_start(&mut self, now: Time) {
        self.serving_since = Some(now);
    }
}
