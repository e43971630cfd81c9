//! A route's limits, queue, budget and upstreams.

use std::collections::BTreeMap;

use fleet::config;
use fleet::view::Route;
use fleet::view::Target;

use crate::queue::Queue;
use crate::retry::Budget;
use crate::upstream::Tiers;

/// A route's limits, queue, budget and upstreams.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its route.
    pub route: Route,
    /// Its limits.
    pub spec: config::Service,
    /// Relative shares of the teams that have one.
    pub shares: BTreeMap<String, u32>,
    /// Where its requests may go.
    pub tiers: Tiers,
    /// Who waits.
    pub queue: Queue,
    /// How many requests may be sent again.
    pub budget: Budget,
    /// Requests with a slot.
    pub in_flight: u32,
}

impl Service {
    /// A service with no upstreams yet.
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

    /// Takes over changed limits.
    pub fn set_target(&mut self, target: &Target) {
        self.spec.clone_from(&target.service);
        self.shares.clone_from(&target.shares);
        self.queue.set_limit(target.service.queue as usize);
        self.budget.set_percent(target.service.retry_percent);
    }

    /// The lane of a team and its share. Teams without a share of their own use one together, so
    /// that made-up names gain nothing.
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
