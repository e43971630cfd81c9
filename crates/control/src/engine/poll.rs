//! Asks instances how they are and tells them their epochs.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use contract::Client;
use contract::Drain;
use contract::Health;
use contract::Outcome;
use fleet::fact::Fact;
use fleet::instance::State as Phase;
use fleet::time::Time;

use super::Engine;
use super::Parts;
use crate::poll;
use crate::poll::Sign;

/// Longest wait for an instance's answer.
const TIMEOUT: Duration = Duration::from_millis(700);

/// What is asked of instances: the [contract], or a fake of it.
pub trait Contact: Send + Sync + 'static {
    /// Asks whether the instance is well.
    fn health(&self, address: SocketAddr) -> impl Future<Output = Outcome<Health>> + Send;

    /// Starts or ends draining.
    fn drain(
        &self,
        address: SocketAddr,
        drain: Drain,
    ) -> impl Future<Output = Outcome<Health>> + Send;
}

/// The instances themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Instances;

impl Contact for Instances {
    async fn health(&self, address: SocketAddr) -> Outcome<Health> {
        Client::new(address, TIMEOUT).health().await
    }

    async fn drain(&self, address: SocketAddr, drain: Drain) -> Outcome<Health> {
        Client::new(address, TIMEOUT).drain(drain).await
    }
}

impl<P: Parts> Engine<P> {
    /// Names of the instances to [poll](Self::poll) now.
    pub fn due(&self, now: Time) -> Vec<String> {
        let mut guard = self.state();
        let state = &mut *guard;
        let mut wanted = BTreeMap::new();
        for pool in state.held_pools().keys() {
            for (_, member) in state.world.members(*pool) {
                wanted.insert(member.name.clone(), member.state == Phase::Draining);
            }
        }
        state.polls.due(&wanted, now)
    }

    /// Asks one instance how it is, and tells it its epoch and whether to drain.
    pub async fn poll(&self, name: &str, now: Time) {
        let Some(address) = self.address(name) else {
            self.state().polls.answer(name, None);
            return;
        };
        let health = self.core.contact.health(address).await.done();
        let order = health.as_ref().and_then(|health| self.order(name, health));
        let told = match order {
            Some(order) => self.core.contact.drain(address, order).await.done(),
            None => None,
        };
        self.take_in_health(name, health, told, now);
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        let state = self.state();
        let key = *state.world.names.instances.get(name)?;
        state.world.instances.get(key)?.address.parse().ok()
    }

    fn order(&self, name: &str, health: &Health) -> Option<Drain> {
        let state = self.state();
        let key = *state.world.names.instances.get(name)?;
        let instance = state.world.instances.get(key)?;
        poll::order(instance.state, instance.epoch, health)
    }

    /// Whether an instance restarted is told by its first answer, not by the one after it was told
    /// its epoch.
    fn take_in_health(&self, name: &str, health: Option<Health>, told: Option<Health>, now: Time) {
        let mut state = self.state();
        let sign = state.polls.answer(name, health);
        if told.is_some() {
            state.polls.answer(name, told);
        }
        let Some(&instance) = state.world.names.instances.get(name) else { return };
        let fact = match sign {
            Sign::Answers => Fact::Answers(instance),
            Sign::Restarted => Fact::Restarted(instance),
            Sign::Silent => Fact::Silent(instance),
            Sign::Missed => return,
        };
        state.facts.push(fact);
        let _ = now;
    }
}
