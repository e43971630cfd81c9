//! What all connections of an upstream share.

use fleet::time::Time;
use http::Request;

use super::Faults;
use super::Ledger;
use super::Lines;
use super::Settings;

/// What all connections of an upstream share.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) busy: u32,
    pub(super) connections: u32,
    pub(super) peak_connections: u32,
    pub(super) ledger: Ledger,
    pub(super) faults: Faults,
    pub(super) lines: Lines,
    pub(super) draining_since: Option<Time>,
    pub(super) epoch: u64,
    pub(super) boot: u64,
}

impl State {
    pub(super) fn drain(&mut self, now: Time, draining: bool) {
        self.draining_since = draining.then(|| self.draining_since.unwrap_or(now));
    }

    /// Everything but the ledger starts afresh.
    pub(super) fn restart(&mut self) {
        self.busy = 0;
        self.connections = 0;
        self.draining_since = None;
        self.epoch = 0;
        self.boot += 1;
    }

    /// Takes a slot for a request and notes that it runs; not so if it is refused.
    pub(super) fn begin(&mut self, now: Time, settings: Settings, request: &Request) -> bool {
        let id = request.headers.get("knapweedsail-request-id").unwrap_or("none");
        let key = request.headers.get("idempotency-key");
        if let Some(since) = self.draining_since {
            self.ledger.last_after_drain = Some(now.since(since));
        }
        let full = self.busy >= settings.slots;
        if full || self.faults.refuses || self.draining_since.is_some() {
            self.ledger.refuse(id);
            return false;
        }
        self.busy += 1;
        self.ledger.note(now, id, key, self.draining_since.is_some());
        true
    }

    pub(super) fn connect(&mut self) {
        self.connections += 1;
        self.peak_connections = self.peak_connections.max(self.connections);
    }
}
