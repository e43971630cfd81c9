//! Rows that the system keeps in the store.

use serde::Deserialize;
use serde::Serialize;

/// Part that all of them are in, so that one transaction can change any of them.
pub const PART: &str = "main";

/// Table of who is in office.
pub const LEADERS: &str = "sail_office";

/// Key of the only row there.
pub const LEADER: &str = "holder";

/// Table of the bodies of jobs that have not ended.
pub const BODIES: &str = "sail_bodies";

/// Table of the progress of jobs.
pub const PROGRESS: &str = "sail_progress";

/// Table of what is known of waves.
pub const WAVES: &str = "sail_waves";

/// Table of instances that are silent: the store's clock when they lapse, in milliseconds.
pub const UNRESPONSIVE: &str = "sail_silences";

/// Table of machines that were called: the store's clock when, in milliseconds.
pub const MACHINE_CALLS: &str = "sail_calls";

/// Who is in office.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of its machine.
    pub node: String,
    /// Where it takes connections of its peers.
    pub address: std::net::SocketAddr,
    /// Rises with each change of the office.
    pub epoch: u64,
    /// Rises with each write of one epoch.
    #[serde(rename = "count")]
    pub writes: u64,
    /// Whether it has left the office.
    #[serde(rename = "left")]
    pub stepped_down: bool,
    /// Whether it has started tasks that the store does not tell of.
    #[serde(default, rename = "unlogged")]
    pub unrecorded: bool,
    /// The store's clock when a node last left for being slow, in milliseconds; nought if none did.
    #[serde(default)]
    pub slow_ms: u64,
}

/// What is known of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Machines whose maintenance has begun.
    pub begun: std::collections::BTreeSet<String>,
    /// Whether all of them have.
    pub completed: bool,
}
