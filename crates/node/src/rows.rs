//! Tables and rows that the system keeps in the store.

use serde::Deserialize;
use serde::Serialize;

/// Partition of the store that holds all these tables, so that one transaction can change any of them.
pub const PARTITION: &str = "main";

/// Table of the leader.
pub const LEADERS: &str = "sail_office";

/// Key of the only row of [`LEADERS`].
pub const LEADER: &str = "holder";

/// Table of the bodies of jobs that have not ended.
pub const BODIES: &str = "sail_bodies";

/// Table of the progress of jobs.
pub const PROGRESS: &str = "sail_progress";

/// Table of the progress of maintenance waves.
pub const WAVES: &str = "sail_waves";

/// Table of unresponsive instances: when their leases expire, in milliseconds on the store's clock.
pub const UNRESPONSIVE: &str = "sail_silences";

/// Table of machine operations: when a machine was last called, in milliseconds on the store's
/// clock.
pub const MACHINE_CALLS: &str = "sail_calls";

/// The leader, or the last one if it has stepped down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of the leader's node.
    pub node: String,
    /// Address where the leader accepts rpc connections of other nodes.
    pub address: std::net::SocketAddr,
    /// Number of the term; increases with each change of leader.
    pub epoch: u64,
    /// Number of writes within the term.
    #[serde(rename = "count")]
    pub writes: u64,
    /// Whether the leader has stepped down.
    #[serde(rename = "left")]
    pub stepped_down: bool,
    /// Whether the leader may have started tasks that the store has no record of.
    #[serde(default, rename = "unlogged")]
    pub unrecorded: bool,
    /// For how long after this was written a leader before this one may still grant leases, in
    /// milliseconds.
    #[serde(default)]
    pub overlap_ms: u64,
    /// How much longer than usual leases may last that were granted before this was written, in
    /// milliseconds.
    #[serde(default)]
    pub excess_ms: u64,
    /// When a leader last stepped down for being slow, in milliseconds on the store's clock; zero
    /// if none did.
    #[serde(default)]
    pub slow_ms: u64,
}

/// Progress of a maintenance wave, or of a part of its machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Machines whose maintenance has begun; none are listed once all have.
    pub begun: std::collections::BTreeSet<String>,
    /// Whether the maintenance of all its machines has begun.
    pub completed: bool,
}
