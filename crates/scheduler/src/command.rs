//! What the scheduler asks of instances and machines.

use std::rc::Rc;

use crate::instance;
use crate::job;

/// A call to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The instance.
    pub instance: instance::Key,
    /// The task.
    pub task: job::TaskKey,
    /// Its name as instances know it.
    pub name: job::TaskName,
    /// The run that is meant.
    pub run: u32,
    /// What to do.
    pub action: Action,
}

/// What to do with a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Begin it.
    Start {
        /// What the caller wants run.
        payload: Rc<str>,
        /// Where to go on from; empty at the beginning.
        checkpoint: String,
    },
    /// End it.
    Stop,
    /// Let it work at a share of its speed.
    Throttle {
        /// Percent of full speed.
        percent: u8,
    },
}

/// What came of a [`Action::Start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It runs.
    Started,
    /// It does not, and will not.
    Refused(Refusal),
    /// Nobody knows: it may run now or seconds later.
    Unknown,
}

/// Why an instance refused a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// The instance has seen a higher fencing token.
    #[display("fence")]
    Fence,
    /// The run is not higher than one that ended there.
    #[display("old")]
    Old,
    /// Its deadline has passed.
    #[display("late")]
    Late,
    /// There is no room.
    #[display("room")]
    Room,
    /// The ticket is missing or has run out.
    #[display("ticket")]
    Ticket,
    /// The instance does not understand it.
    #[display("malformed")]
    Malformed,
    /// The instance takes nothing at present.
    #[display("unhealthy")]
    Unhealthy,
    /// Another life of the instance answered.
    #[display("incarnation")]
    Incarnation,
    /// The call was never sent.
    #[display("not-sent")]
    NotSent,
}
