//! Leases on duties.
//!
//! A duty's row names its holder. Wall clocks are never compared: an entry is considered dead when
//! its row has not changed for [`TTL`] of the observer's own monotonic time while the observer's
//! reads succeeded. A false positive only causes an unnecessary transfer, because every write on
//! behalf of a duty is conditional on the version of the duty's row: an entry that has lost the duty
//! cannot write, whether or not it knows of the loss.
//!
//! * [`Watch`]: failure detector; which entries are alive.
//! * [`Leases`]: which duties to take over and which to hand over.
//! * [`rank`]: the order of preference of the entries for a duty.

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

/// Interval between heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum time without a change of an entry's row before the entry is considered dead.
pub const TTL: Duration = Duration::from_millis(2_000);

/// Replaces [`TTL`] for an entry that peers report as alive and connected to the platform: the entry
/// is slow, not dead.
pub const SLOW_TTL: Duration = Duration::from_secs(8);

/// Maximum time since an observer's last read for its data to count as fresh. After a longer gap the
/// observer counts the time without a change of each row from zero again.
pub const MAX_READ_GAP: Duration = Duration::from_millis(1_500);

/// Delay per position in a duty's order of preference before an entry takes over an orphaned duty
/// that another entry has failed to take over.
pub const TAKEOVER_STEP: Duration = Duration::from_millis(400);

/// Minimum time between two duties that one entry hands over to balance the load.
pub const HANDOVER_PAUSE: Duration = Duration::from_secs(1);
