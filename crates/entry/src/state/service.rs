//! Limits, queue, retry budget and upstreams of a service.

use std::collections::BTreeMap;

use fleet::config;
use fleet::view::Route;
use fleet::view::Target;

use crate::queue::Queue;
use crate::retry::Budget;
use crate::upstream::Tiers;

/// A service at a route.
#[derive(Clone, Debug)]
pub struct Service {
    /// Route of its requests.
    pub route: Route,
    /// Its configured limits.
    pub spec: config::Service,
    /// Relative shares of teams by name, where configured.
    pub shares: BTreeMap<String, u32>,
    /// Its upstreams.
    pub tiers: Tiers,
    /// Requests that wait for a slot.
    pub queue: Queue,
    /// Its retry budget.
    pub budget: Budget,
    /// Requests that hold a slot.
    pub in_flight: u32,
}

impl Service {
    /// A service without upstreams.
    pub fn new(route: Route, target: &Target) -> Self {
        Self {
            route,
            spec: target.service.clone(),
            shares: target.shares.clone(),
            tiers: Tiers::default(),
            queue: Queue::new(target.service.queue as usize),
            budget: Budget::new(target.service.retry_percent),
            in_flight: 0,
        }
    }

    /// Applies changed limits and shares.
    pub fn set_target(&mut self, target: &Target) {
        self.spec.clone_from(&target.service);
        self.shares.clone_from(&target.shares);
        self.queue.set_limit(target.service.queue as usize);
        self.budget.set_percent(target.service.retry_percent);
    }

    /// Name and relative share by which a team is queued. Teams without a configured share are
    /// queued as one, so that callers gain nothing by inventing team names.
    pub fn share<'team>(&self, team: &'team str) -> (&'team str, u32) {
        match self.shares.get(team) {
            Some(share) => (team, *share),
            None => ("", 1),
        }
    }

    /// Requests queued or in flight.
    pub fn demand(&self) -> u32 {
        self.in_flight + self.queue.len() as u32
    }
}
