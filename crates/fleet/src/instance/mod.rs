//! Instances: location, capacity, pool and state.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Size;
use crate::key;
use crate::pool::Reason;
use crate::time::Time;
use crate::wave::Run;

/// The lifecycle state of an instance.
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
    /// In service: receives new work.
    #[default]
    #[display("serving")]
    Serving,
    /// Receives no new work; work in progress continues.
    #[display("draining")]
    Draining,
    /// Every entry has acknowledged the drain and nothing is in flight.
    #[display("drained")]
    Drained,
    /// Stopped on purpose, for maintenance or because it is parked.
    #[display("stopped")]
    Stopped,
    /// Up, and being health-checked before it serves.
    #[display("checking")]
    Checking,
    /// Unresponsive, or fails work that other instances complete.
    #[display("failed")]
    Failed,
    /// Permanently removed from the platform's instance list.
    #[display("gone")]
    Gone,
}

impl State {
    /// Whether an instance in this state is in service. Only serving members count as ready.
    pub const fn is_serving(self) -> bool {
        matches!(self, Self::Serving)
    }
}

/// Why an instance was deliberately taken out of service.
///
/// The purpose is stored in the instance's row, so that the next holder of the duty can continue
/// the operation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Purpose {
    /// Maintenance by this run of a wave.
    #[display("wave")]
    Wave(Run),
    /// A move to another pool.
    #[display("move")]
    Move {
        /// The destination pool.
        to: key::Pool,
        /// Reason of the move.
        reason: Reason,
    },
    /// An operator drained the instance. It stays out of service until an operator returns it.
    #[display("operator")]
    Operator,
    /// The platform is removing the instance.
    #[display("leaving")]
    Leaving,
    /// The instance is parked: its spare pool has more ready instances than it needs.
    #[display("parked")]
    Parked,
}

/// One instance of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// Its name in the platform's instance list.
    pub name: String,
    /// Listening address of its upstream and worker, as `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: key::DataCentre,
    /// Its rack.
    pub rack: key::Rack,
    /// The pool that it belongs to.
    pub pool: key::Pool,
    /// Its total resources.
    pub capacity: Size,
    /// Its state.
    pub state: State,
    /// When it entered this state.
    pub since: Time,
    /// Fencing token: increases with each change of pool or state. Upstreams and workers reject
    /// calls with a lower one.
    pub epoch: u64,
    /// When it was added from the platform's instance list.
    pub enlisted: Time,
    /// Why it was taken out of service, if it was taken out deliberately.
    pub purpose: Option<Purpose>,
    /// Consecutive failures, without a long healthy period in between.
    pub strikes: u32,
    /// When its last maintenance finished.
    pub maintained: Time,
    /// The wave run that last maintained it.
    pub last_run: Option<Run>,
}

impl Instance {
    /// Returns the instance in `state` from `now` on, with its epoch incremented.
    pub fn into_state(self, state: State, now: Time) -> Self {
        Self { state, since: now, epoch: self.epoch + 1, ..self }
    }
}
