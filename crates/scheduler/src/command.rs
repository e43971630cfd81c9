//! Commands to instances: start, stop or throttle a run.

use std::rc::Rc;

use crate::instance;
use crate::job;

/// A call to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The instance.
    pub instance: instance::Key,
    /// Key of the task in the scheduler.
    pub task: job::TaskKey,
    /// Name of the task on instances.
    pub name: job::TaskName,
    /// Number of the run.
    pub run: u32,
    /// What to do with the run.
    pub action: Action,
}

/// What to do with a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start it.
    Start {
        /// Payload of the job, passed on unchanged.
        payload: Rc<str>,
        /// Checkpoint to resume from; empty to start from the beginning.
        checkpoint: String,
    },
    /// Stop it.
    Stop,
    /// Limit its speed.
    Throttle {
        /// Percent of full speed.
        percent: u8,
    },
}

/// Outcome of a [`Action::Start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run has started.
    Started,
    /// The run has not started, and this command will never start it.
    Refused(Refusal),
    /// No answer arrived: the run may have started, or may still start seconds later.
    Unknown,
}

impl Outcome {
    /// Whether only a heartbeat shows what became of the task.
    pub const fn needs_heartbeat(self) -> bool {
        matches!(self, Self::Unknown | Self::Refused(Refusal::Old))
    }
}

/// Why an instance refused a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// The instance has seen a higher fencing token.
    #[display("fence")]
    Fence,
    /// A run of the task with the same or a higher number has already ended there.
    #[display("old")]
    Old,
    /// The lease sent with the command has already expired.
    #[display("late")]
    Late,
    /// Not enough free capacity.
    #[display("room")]
    Room,
    /// The ticket from the advice service is missing or has expired.
    #[display("ticket")]
    Ticket,
    /// The instance can't parse the command.
    #[display("malformed")]
    Malformed,
    /// The instance accepts no runs at present.
    #[display("unhealthy")]
    Unhealthy,
    /// The process at this address is another incarnation of the instance.
    #[display("incarnation")]
    Incarnation,
    /// The command was never sent.
    #[display("not-sent")]
    NotSent,
}
