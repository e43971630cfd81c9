//! When a process that has just started may serve callers.

use std::time::Duration;

use fleet::config::Revision;
use fleet::time::Time;

/// Peers whose word is enough when the store does not answer.
pub const MIN_PEERS: usize = 2;

/// How long peers are listened to before their word counts, so that the newest of them is heard.
pub const LISTEN_PERIOD: Duration = Duration::from_secs(2);

/// What a starting process has found out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartupEvidence {
    /// Whether the store answered with the configuration and all rows.
    pub store: bool,
    /// The revision in force here.
    pub revision: Revision,
    /// Peers that are heard of and serve callers.
    pub peers: usize,
    /// The highest revision that any peer said it has in force.
    pub peers_revision: Revision,
}

/// Whether a process that has just started may serve callers.
///
/// It must not serve by older documents than its neighbours do. The store's word is enough; else
/// that of a few peers once their highest revision is in force here too; else, after a limit, what
/// there is, as long as no peer is known to have more.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Startup {
    started: Time,
    limit: Duration,
    ready: bool,
}

impl Startup {
    /// A process that starts at `now` and waits for `limit` at most.
    pub fn new(now: Time, limit: Duration) -> Self {
        Self { started: now, limit, ready: false }
    }

    /// Whether callers may be served. Once they may, they may for good.
    pub fn update(&mut self, found: StartupEvidence, now: Time) -> bool {
        self.ready |= self.judge(found, now);
        self.ready
    }

    /// Whether callers may be served, as last found out.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    fn judge(&self, found: StartupEvidence, now: Time) -> bool {
        let up_to_date = found.revision >= found.peers_revision;
        let waited = now.since(self.started);
        let by_peers = found.peers >= MIN_PEERS && waited >= LISTEN_PERIOD;
        let by_limit = waited >= self.limit;
        let has_documents = found.revision > Revision::default();
        up_to_date && (found.store || (has_documents && (by_peers || by_limit)))
    }
}
