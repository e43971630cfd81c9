//! Who holds which duty.
//!
//! A duty's row names its holder. Nothing is ever judged by a wall clock: an entry is dead when its
//! row has not changed for [`TTL`] of the observer's own monotonic time, while the observer's reads
//! went through. Being wrong about that costs a needless move and no more, since every write that
//! rests on a duty has the duty's row as a condition: whoever lost it, knowingly or not, writes
//! nothing.
//!
//! * [`Watch`]: which entries are alive.
//! * [`Leases`]: which duties to take up and which to hand over.
//! * [`rank`]: in which order the entries have a claim on a duty.

mod leases;
mod rank;
mod watch;

pub use leases::Lease;
pub use leases::Leases;
pub use leases::Transfer;
pub use rank::rank;
pub use rank::rank_candidates;
pub use watch::PeerReport;
pub use watch::Watch;

use std::time::Duration;

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// How long an entry's row may stand still before the entry counts as dead.
pub const TTL: Duration = Duration::from_millis(2_000);

/// The same for an entry that peers hear of, and that says it reaches the platform: slow, not dead.
pub const SLOW_TTL: Duration = Duration::from_secs(8);

/// Longest pause between two reads of the observer after which it trusts its own judgement.
pub const MAX_READ_GAP: Duration = Duration::from_millis(1_500);

/// How much longer each further entry in a duty's order waits before it takes up an orphaned duty
/// that is meant for another.
pub const TAKEOVER_STEP: Duration = Duration::from_millis(400);

/// Least time between two duties that one entry hands over to even out the load.
pub const HANDOVER_PAUSE: Duration = Duration::from_secs(1);
