//! What the client sent, shed and waited for.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

/// What the client sent, shed and waited for so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Calls that failed with no answer.
    pub failed: u64,
    /// Calls not sent because the platform is out or returning.
    pub shed_outage: u64,
    /// Calls not sent because too many are under way.
    pub shed_full: u64,
    /// Calls not sent because this entry's share of the site's budget was spent.
    pub shed_budget: u64,
    /// Answers dropped as older than one before.
    pub stale: u64,
    /// Reads sent again because a connection used before was closed.
    pub again: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Cells {
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) shed_outage: AtomicU64,
    pub(crate) shed_full: AtomicU64,
    pub(crate) shed_budget: AtomicU64,
    pub(crate) stale: AtomicU64,
    pub(crate) again: AtomicU64,
}

impl Cells {
    pub(crate) fn read(&self) -> Counters {
        Counters {
            reads: self.reads.load(Relaxed),
            writes: self.writes.load(Relaxed),
            failed: self.failed.load(Relaxed),
            shed_outage: self.shed_outage.load(Relaxed),
            shed_full: self.shed_full.load(Relaxed),
            shed_budget: self.shed_budget.load(Relaxed),
            stale: self.stale.load(Relaxed),
            again: self.again.load(Relaxed),
        }
    }
}

pub(crate) fn count(cell: &AtomicU64) {
    cell.fetch_add(1, Relaxed);
}
