//! Upstreams as one entry sees them, and load balancing between them.
//!
//! * [`Upstream`]: an instance's slots, requests in flight and [`Health`].
//! * [`Tiers`]: the upstreams of a service, in order of preference.
//! * [`Policy`]: picks the upstream for the next request.
//!
//! docs/design/routing.md gives the reasons.

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

/// Time over which a new or readmitted upstream is ramped up to all its slots.
const SLOW_START: Duration = Duration::from_secs(5);

/// First backoff after an upstream reported that it is full; it doubles up to [`MAX_FULL_BACKOFF`].
const MIN_FULL_BACKOFF: Duration = Duration::from_millis(4);

/// Maximum backoff after an upstream reported that it is full.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(64);

/// An upstream as one entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name of the instance.
    pub instance: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether new requests may be sent to it.
    pub availability: Availability,
    /// Requests that it handles concurrently, from all entries together.
    pub slots: u32,
    /// Maximum number of connections from this entry.
    pub connections: u32,
    /// Number of entries that share its slots.
    pub entries: u32,
    /// Slots that other entries reported in use.
    pub used_elsewhere: u32,
    /// Requests that this entry has in flight to it.
    pub in_flight: u32,
    /// Health by its recent responses.
    pub health: Health,
    /// Whether its responses carry the id of their request.
    pub echoes_id: bool,
    /// Start of its slow start; `None` if it had none.
    pub slow_start_since: Option<Time>,
    /// Nothing is sent to it before this time, because it reported that it is full.
    pub full_until: Time,
    /// Backoff after its next report that it is full.
    pub full_backoff: Duration,
}

impl Upstream {
    /// An upstream with default limits and no history.
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
            slow_start_since: None,
            full_until: Time::ZERO,
            full_backoff: MIN_FULL_BACKOFF,
        }
    }

    /// Number of further requests that this entry may send to it now.
    pub fn headroom(&self, now: Time) -> u32 {
        if self.availability == Availability::Leaving || now < self.full_until {
            return 0;
        }
        let limit = self.usable_slots().min(self.connections).min(self.slow_start_slots(now));
        limit.saturating_sub(self.in_flight)
    }

    /// Slots that this entry may use.
    ///
    /// Reports of other entries lag. This entry may always use an even share, and at least one
    /// slot, so that the last report of a peer that died does not lock it out. The upstream itself
    /// refuses requests beyond its slots.
    fn usable_slots(&self) -> u32 {
        let even_share = (self.slots / self.entries.max(1)).max(1);
        self.slots.saturating_sub(self.used_elsewhere).max(even_share)
    }

    /// Slots that slow start allows: from one up to all.
    fn slow_start_slots(&self, now: Time) -> u32 {
        let Some(since) = self.slow_start_since else { return self.slots };
        let progress = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        if progress >= 1.0 { self.slots } else { 1 + (f64::from(self.slots - 1) * progress) as u32 }
    }

    /// Requests known to be in flight to it per slot that slow start allows.
    pub fn utilization(&self, now: Time) -> f64 {
        f64::from(self.in_flight + self.used_elsewhere)
            / f64::from(self.slow_start_slots(now).max(1))
    }

    /// Records that it refused a request because its slots were taken.
    pub fn record_refused(&mut self, now: Time) {
        self.full_until = now + self.full_backoff;
        self.full_backoff = (self.full_backoff * 2).min(MAX_FULL_BACKOFF);
    }

    /// Records that it accepted a request, which resets the backoff.
    pub fn record_accepted(&mut self) {
        self.full_backoff = MIN_FULL_BACKOFF;
    }

    /// Begins slow start at `now`.
    pub fn begin_slow_start(&mut self, now: Time) {
        self.slow_start_since = Some(now);
    }
}
