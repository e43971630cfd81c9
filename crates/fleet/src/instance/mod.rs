//! Instances: where each one is, what it can hold, which pool has it and what state it is in.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Size;
use crate::key;
use crate::pool::Reason;
use crate::time::Time;
use crate::wave::Run;

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
    pub const fn is_serving(self) -> bool {
        matches!(self, Self::Serving)
    }
}

/// What an instance that is out of service on purpose is out for.
///
/// It stands in the instance's row, so that whoever holds the duty next goes on from there.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Purpose {
    /// Maintenance by a wave.
    #[display("wave")]
    Wave(Run),
    /// A move to another pool.
    #[display("move")]
    Move {
        /// The pool that gets it.
        to: key::Pool,
        /// Why it is moved.
        reason: Reason,
    },
    /// An operator drained it; it stays out until an operator returns it.
    #[display("operator")]
    Operator,
    /// The platform is taking it away.
    #[display("leaving")]
    Leaving,
    /// Its pool is a spare one that holds more than it needs, so it is held by no one.
    #[display("parked")]
    Parked,
}

/// One instance of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
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
    /// When it was taken in from the list.
    pub enlisted: Time,
    /// What it is out for, where it is out on purpose.
    pub purpose: Option<Purpose>,
    /// Failures in a row with no long quiet time between them.
    pub strikes: u32,
    /// When its maintenance last finished.
    pub maintained: Time,
    /// The run of a wave that last maintained it.
    pub last_run: Option<Run>,
}

impl Instance {
    /// The same instance in another state, with its epoch raised.
    pub fn into_state(self, state: State, now: Time) -> Self {
        Self { state, since: now, epoch: self.epoch + 1, ..self }
    }
}
