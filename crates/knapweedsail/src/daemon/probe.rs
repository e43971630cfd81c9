//! What the admin address tells of the process.

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use entry::Entry;
use peer::Peer;
use platform::client::Client;

/// Readiness and metrics of a [`Daemon`](super::Daemon).
#[derive(Clone, Debug)]
pub(super) struct Probe {
    entry: Entry,
    peer: Peer,
    client: Client,
    ready: Arc<AtomicBool>,
}

impl Probe {
    pub(super) fn new(entry: Entry, peer: Peer, client: Client) -> Self {
        Self { entry, peer, client, ready: Arc::default() }
    }

    /// Takes note of whether the control loop has what callers are to be served by.
    pub(super) fn note(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    fn peer_lines(&self) -> Vec<(&'static str, u64)> {
        let counters = self.peer.counters();
        vec![
            ("peer_frames_sent", counters.frames_sent),
            ("peer_frames_received", counters.frames_received),
            ("peer_bytes_sent", counters.bytes_sent),
            ("peer_bytes_received", counters.bytes_received),
            ("peer_send_failures", counters.send_failures),
            ("peer_frames_refused", counters.refused.values().sum()),
            ("peer_pulls", counters.pulls),
            ("peer_pull_failures", counters.pull_failures),
        ]
    }

    fn platform_lines(&self) -> Vec<(&'static str, u64)> {
        let counters = self.client.counters();
        vec![
            ("platform_reads", counters.reads),
            ("platform_writes", counters.writes),
            ("platform_failed", counters.failed),
            ("platform_shed_outage", counters.shed_outage),
            ("platform_shed_full", counters.shed_full),
            ("platform_shed_budget", counters.shed_budget),
        ]
    }
}

impl crate::admin::Probe for Probe {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && self.entry.is_ready()
    }

    fn metrics(&self) -> String {
        let mut text = self.entry.metrics();
        for (name, value) in self.peer_lines().into_iter().chain(self.platform_lines()) {
            // Writing to a text can't fail.
            let _ = writeln!(text, "knapweedsail_{name} {value}");
        }
        text
    }
}
