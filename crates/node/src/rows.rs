//! Rows that the system keeps in the store.

use serde::Deserialize;
use serde::Serialize;

/// Part that all of them are in, so that one transaction can change any of them.
pub const PART: &str = "main";

/// Table of who is in office.
pub const OFFICE: &str = "sail_office";

/// Key of the only row there.
pub const HOLDER: &str = "holder";

/// Table of the bodies of jobs that have not ended.
pub const BODIES: &str = "sail_bodies";

/// Table of the progress of jobs.
pub const PROGRESS: &str = "sail_progress";

/// Table of what is known of waves.
pub const WAVES: &str = "sail_waves";

/// Table of instances that are silent: the store's clock when they lapse, in milliseconds.
pub const SILENCES: &str = "sail_silences";

/// Table of machines that were called: the store's clock when, in milliseconds.
pub const CALLS: &str = "sail_calls";

/// Who is in office.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of its machine.
    pub node: String,
    /// Where it takes connections of its peers.
    pub address: std::net::SocketAddr,
    /// Rises with each change of the office.
    pub epoch: u64,
    /// Rises with each write of one epoch.
    pub count: u64,
    /// Whether it has left the office.
    pub left: bool,
    /// Whether it has started tasks that the store does not tell of.
    #[serde(default)]
    pub unlogged: bool,
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
