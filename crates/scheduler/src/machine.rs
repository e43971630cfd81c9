//! The machines beneath instances, and waves of maintenance over them.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It carries an instance, or could.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is maintained.
    Upkeep,
    /// It is down for another reason.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine.
    pub host: String,
    /// Service whose pool it is in.
    pub pool: String,
    /// What it does.
    pub state: State,
    /// Name of the instance on it; empty if there is none.
    pub instance: String,
    /// Thousandths of a core.
    pub cpu: u64,
}

/// What the operator asks of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Machines that need maintenance.
    pub hosts: Vec<String>,
    /// Time that it may take.
    pub duration: Duration,
    /// Most machines that may be down for it at once.
    pub max_down: usize,
}

/// A wave under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// What is asked.
    pub wave: Wave,
    /// When it has to be over.
    pub deadline: Time,
    /// Machines whose maintenance has begun, for sure.
    pub begun: BTreeSet<String>,
    /// Whether the operator has been told that it is over.
    pub completed: bool,
    /// Whether the operator has been told that it runs.
    pub reported: bool,
}

/// A call that changes a machine.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Operation {
    /// Into another pool.
    #[display("move host={host} pool={pool}")]
    Move {
        /// The machine.
        host: String,
        /// Where to.
        pool: String,
    },
    /// Into maintenance.
    #[display("upkeep host={host} wave={wave}")]
    Maintain {
        /// The machine.
        host: String,
        /// Which wave asks for it.
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

/// What came of a [`Duty`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is under way, or done already.
    Accepted,
    /// The machine is not up, or leaves.
    Busy,
    /// It will not be done: no such machine, pool or wave.
    Refused,
    /// Not now: too many calls.
    Later,
    /// Nobody knows.
    Unknown,
}
