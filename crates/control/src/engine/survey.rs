//! Discovery: reads the platform's instance list.

use std::time::Duration;

use fleet::time::Time;
use peer::Spread;
use platform::instance::List;

use super::Engine;
use super::Environment;

/// Time between two reads of the list by an entry that holds the duty of a pool.
const HOLDER_PERIOD: Duration = Duration::from_secs(1);

/// Time between two reads of the list by any other entry.
const PERIOD: Duration = Duration::from_secs(10);

impl<E: Environment> Engine<E> {
    /// Reads the instance list if that is due, and passes the addresses of entries to gossip.
    pub async fn discover(&self, now: Time) {
        if !self.is_discovery_due(now) {
            return;
        }
        let Ok(listed) = self.core.list.list().await else { return };
        let mut state = self.state();
        if !state.discovery.update(listed, now) {
            tracing::warn!(event = "list-doubted");
            return;
        }
        let entries = state.discovery.entries();
        state.senders.update_listed(&entries, now);
        let addresses = state.discovery.addresses();
        drop(state);
        self.core.spread.seed(addresses);
    }

    fn is_discovery_due(&self, now: Time) -> bool {
        let state = self.state();
        let holds = !state.held_pools().is_empty();
        let period = if holds { HOLDER_PERIOD } else { PERIOD };
        state.discovery.last_read().is_none_or(|read| now.since(read) >= period)
    }
}
