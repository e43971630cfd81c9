//! When a starting process may serve callers.

use std::time::Duration;

use fleet::config::Revision;
use fleet::time::Time;

/// Number of ready peers whose revision is trusted when the store does not answer.
pub const MIN_PEERS: usize = 2;

/// How long a starting process listens to peers before it trusts them, so that it has also received
/// the revision of the most up-to-date peer.
pub const LISTEN_PERIOD: Duration = Duration::from_secs(2);

/// What a starting process has learned from the store and from peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartupEvidence {
    /// Whether the configuration and all rows have been read from the store.
    pub store: bool,
    /// The revision in force in this process.
    pub revision: Revision,
    /// Number of live peers that serve callers.
    pub peers: usize,
    /// The highest revision that a live peer has in force.
    pub peers_revision: Revision,
}

/// Decides when a starting process may serve callers.
///
/// The process must not serve with older documents than its peers have, so it never serves while a
/// live peer is known to have a higher revision. Otherwise it serves as soon as the store has been
/// read. If the store does not answer, it needs documents from elsewhere, and serves with them once
/// it knows [`MIN_PEERS`] ready peers or a time limit has passed.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Startup {
    started: Time,
    limit: Duration,
    ready: bool,
}

impl Startup {
    /// State of a process that starts at `now` and waits at most `limit`.
    pub fn new(now: Time, limit: Duration) -> Self {
        Self { started: now, limit, ready: false }
    }

    /// Re-evaluates whether callers may be served. Once true, the result stays true.
    pub fn update(&mut self, evidence: StartupEvidence, now: Time) -> bool {
        self.ready |= self.may_serve(evidence, now);
        self.ready
    }

    /// The result of the latest [`update`](Self::update).
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    fn may_serve(&self, evidence: StartupEvidence, now: Time) -> bool {
        let up_to_date = evidence.revision >= evidence.peers_revision;
        let waited = now.since(self.started);
        let by_peers = evidence.peers >= MIN_PEERS && waited >= LISTEN_PERIOD;
        let by_limit = waited >= self.limit;
        let has_documents = evidence.revision > Revision::default();
        up_to_date && (evidence.store || (has_documents && (by_peers || by_limit)))
    }
}
