//! Instances: where each one is, what it can hold, which pool has it and what state it is in.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Size;
use crate::key;
use crate::time::Time;

/// Where an instance stands between serving and gone.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize
)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work.
    #[default]
    #[display("serving")]
    Serving,
    /// Gets no new work; what it has goes on.
    #[display("draining")]
    Draining,
    /// Every entry has acknowledged the drain and nothing is in flight.
    #[display("drained")]
    Drained,
    /// Stopped on purpose, for maintenance.
    #[display("stopped")]
    Stopped,
    /// Back up, being checked before it serves again.
    #[display("checking")]
    Checking,
    /// Not answering, or found to fail what others can do.
    #[display("failed")]
    Failed,
    /// Gone from the instance list for good.
    #[display("gone")]
    Gone,
}

impl State {
    /// Whether an instance in this state counts towards its pool's promise.
    pub const fn counts_ready(self) -> bool {
        matches!(self, Self::Serving)
    }
}

/// One instance of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name on the platform's instance list.
    pub name: String,
    /// Where its upstream and worker listen, as `ip:port`.
    pub address: String,
    /// The data centre it stands in.
    pub data_centre: key::DataCentre,
    /// The rack it stands in.
    pub rack: key::Rack,
    /// The one pool that has it.
    pub pool: key::Pool,
    /// What it can hold.
    pub capacity: Size,
    /// Its state.
    pub state: State,
    /// Since when it is in that state.
    pub since: Time,
    /// Rises with each change of pool or state; upstreams and workers refuse lower ones.
    pub epoch: u64,
    /// When its maintenance last finished.
    pub maintained: Time,
}
