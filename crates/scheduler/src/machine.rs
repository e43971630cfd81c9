//! The machines beneath instances, and maintenance waves over them.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// In service: it carries an instance, or one can start on it.
    Up,
    /// Moving to another pool.
    Moving,
    /// Under maintenance.
    Upkeep,
    /// Down for another reason.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine.
    pub host: String,
    /// Service to whose pool it belongs.
    pub pool: String,
    /// Its state.
    pub state: State,
    /// Name of the instance on it; empty if there is none.
    pub instance: String,
    /// CPU capacity in millicores.
    pub cpu: u64,
}

/// A maintenance wave, as the operator requested it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Machines that need maintenance.
    pub hosts: Vec<String>,
    /// Time that the whole wave may take.
    pub duration: Duration,
    /// Maximum number of machines that may be down for the wave at once.
    pub max_down: usize,
}

/// Progress of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The request.
    pub wave: Wave,
    /// When the wave has to be completed.
    pub deadline: Time,
    /// Machines whose maintenance the platform has accepted.
    pub begun: BTreeSet<String>,
    /// Whether maintenance has begun on every machine of the wave that still exists.
    pub completed: bool,
    /// Whether the present state (running or completed) has been reported to the operator.
    pub reported: bool,
}

/// A call that moves a machine or takes it into maintenance.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Operation {
    /// Moves it to another pool.
    #[display("move host={host} pool={pool}")]
    Move {
        /// The machine.
        host: String,
        /// Service of the target pool.
        pool: String,
    },
    /// Takes it into maintenance.
    #[display("upkeep host={host} wave={wave}")]
    Maintain {
        /// The machine.
        host: String,
        /// Number of the wave that requests it.
        wave: u64,
    },
}

impl Operation {
    /// The machine.
    pub fn host(&self) -> &str {
        match self {
            Self::Move { host, .. } | Self::Maintain { host, .. } => host,
        }
    }
}

/// Outcome of an [`Operation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The operation is in progress, or was completed before.
    Accepted,
    /// The machine is not up, or is about to leave the site.
    Busy,
    /// Refused permanently: no such machine, pool or wave.
    Refused,
    /// Refused for now: too many calls.
    Later,
    /// No answer: the operation may or may not be carried out.
    Unknown,
}
