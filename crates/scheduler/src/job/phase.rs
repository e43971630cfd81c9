//! Phases of a task.

use crate::instance;

/// Phase of a task, from waiting for its step to done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The occurrence is not due, or a step that this task's step depends on is not completed.
    #[default]
    Waiting,
    /// Ready to be placed.
    Ready,
    /// Placed on an instance; the store does not hold the placement yet.
    Planned(instance::Key),
    /// Placed; the write that stores the placement is in flight.
    Recording(instance::Key),
    /// Placed; the store holds the placement, and the start command can be sent.
    Recorded(instance::Key),
    /// The start command has been sent, and not answered yet.
    Starting(instance::Key),
    /// The start command got no answer; it may take effect later.
    Unknown(instance::Key),
    /// Placed by a previous leader; no heartbeat of the instance has confirmed the run yet.
    Inherited(instance::Key),
    /// Running.
    Running(instance::Key),
    /// Completed.
    Done,
}

impl Phase {
    /// The instance on which the task books resources.
    pub const fn instance(self) -> Option<instance::Key> {
        match self {
            Self::Planned(key)
            | Self::Recording(key)
            | Self::Recorded(key)
            | Self::Starting(key)
            | Self::Unknown(key)
            | Self::Inherited(key)
            | Self::Running(key) => Some(key),
            Self::Waiting | Self::Ready | Self::Done => None,
        }
    }

    /// Whether a start command may have reached an instance.
    pub const fn is_sent(self) -> bool {
        matches!(self, Self::Starting(_) | Self::Unknown(_) | Self::Inherited(_) | Self::Running(_))
    }
}
