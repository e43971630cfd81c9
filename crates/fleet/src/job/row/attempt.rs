//! A job's state and its attempts in a row.

use serde::Deserialize;
use serde::Serialize;

use super::name;
use crate::job::Action;
use crate::job::Attempt;
use crate::job::Cause;
use crate::job::End;
use crate::job::Ended;
use crate::job::Fault;
use crate::job::Loss;
use crate::job::Outcome;
use crate::job::State;
use crate::job::Symptom;
use crate::key;
use crate::row::size::Size;
use crate::time::Time;
use crate::world::World;

/// State of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub(crate) enum StateRow {
    /// See [`State::Queued`].
    #[default]
    Queued,
    /// See [`State::Running`].
    Running {
        /// The attempt.
        attempt: AttemptRow,
    },
    /// See [`State::Unknown`].
    Unknown {
        /// The attempt.
        attempt: AttemptRow,
        /// What was observed.
        #[serde(rename = "sign")]
        symptom: Symptom,
        /// When the lease has certainly expired.
        until: Time,
        /// Clock by which `until` is measured.
        #[serde(rename = "clock")]
        clock_id: u64,
    },
    /// See [`State::Unresolved`].
    Unresolved {
        /// The attempt.
        attempt: AttemptRow,
    },
    /// See [`State::Parked`].
    Parked {
        /// What is wrong with it.
        fault: Fault,
    },
    /// See [`State::Done`].
    Done {
        /// How it ended.
        end: End,
    },
}

impl StateRow {
    /// The row form of a state.
    pub(crate) fn new(world: &World, state: &State) -> Self {
        let row = |attempt| AttemptRow::new(world, attempt);
        match state {
            State::Queued => Self::Queued,
            State::Running(attempt) => Self::Running { attempt: row(attempt) },
            State::Unknown(attempt, loss) => {
                let Loss { symptom, until, clock_id } = *loss;
                Self::Unknown { attempt: row(attempt), symptom, until, clock_id }
            }
            State::Unresolved(attempt) => Self::Unresolved { attempt: row(attempt) },
            State::Parked(fault) => Self::Parked { fault: *fault },
            State::Done(end) => Self::Done { end: *end },
        }
    }

    /// The state of a row.
    pub(crate) fn open(self, world: &mut World, pool: key::Pool) -> State {
        match self {
            Self::Queued => State::Queued,
            Self::Running { attempt } => State::Running(attempt.open(world, pool)),
            Self::Unknown { attempt, symptom, until, clock_id } => {
                State::Unknown(attempt.open(world, pool), Loss { symptom, until, clock_id })
            }
            Self::Unresolved { attempt } => State::Unresolved(attempt.open(world, pool)),
            Self::Parked { fault } => State::Parked(fault),
            Self::Done { end } => State::Done(end),
        }
    }
}

/// An attempt whose outcome is not known yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct AttemptRow {
    /// Its number.
    pub number: u32,
    /// Name of its instance.
    pub instance: String,
    /// The instance's epoch when it was recorded.
    pub epoch: u64,
    /// Boot of the worker that it was recorded for.
    pub boot: u64,
    /// When it was recorded.
    pub started: Time,
    /// Resources booked for it.
    pub booked: Size,
    /// When the booking was last resized.
    pub corrected: Time,
    /// What its worker is to do with it.
    #[serde(rename = "step")]
    pub action: ActionRow,
    /// When `action` was last set.
    #[serde(rename = "step_since")]
    pub action_since: Time,
}

impl AttemptRow {
    /// The row form of an attempt.
    pub(crate) fn new(world: &World, attempt: &Attempt) -> Self {
        Self {
            number: attempt.number,
            instance: name::of_instance(world, attempt.instance),
            epoch: attempt.epoch,
            boot: attempt.boot,
            started: attempt.started,
            booked: attempt.booked.into(),
            corrected: attempt.corrected,
            action: attempt.action.into(),
            action_since: attempt.action_since,
        }
    }

    /// The attempt of a row.
    pub(crate) fn open(self, world: &mut World, pool: key::Pool) -> Attempt {
        Attempt {
            number: self.number,
            instance: name::instance(world, pool, &self.instance),
            epoch: self.epoch,
            boot: self.boot,
            started: self.started,
            booked: self.booked.into(),
            corrected: self.corrected,
            action: self.action.into(),
            action_since: self.action_since,
        }
    }
}

/// What a worker is to do with an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub(crate) enum ActionRow {
    /// See [`Action::Run`].
    #[default]
    Run,
    /// See [`Action::Throttle`].
    Throttle {
        /// Resources that it may use.
        to: Size,
    },
    /// See [`Action::Checkpoint`].
    Checkpoint {
        /// The reason.
        cause: Cause,
    },
    /// See [`Action::Stop`].
    Stop {
        /// The reason.
        cause: Cause,
    },
}

impl From<Action> for ActionRow {
    fn from(action: Action) -> Self {
        match action {
            Action::Run => Self::Run,
            Action::Throttle(to) => Self::Throttle { to: to.into() },
            Action::Checkpoint(cause) => Self::Checkpoint { cause },
            Action::Stop(cause) => Self::Stop { cause },
        }
    }
}

impl From<ActionRow> for Action {
    fn from(row: ActionRow) -> Self {
        match row {
            ActionRow::Run => Self::Run,
            ActionRow::Throttle { to } => Self::Throttle(to.into()),
            ActionRow::Checkpoint { cause } => Self::Checkpoint(cause),
            ActionRow::Stop { cause } => Self::Stop(cause),
        }
    }
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedRow {
    /// Its number.
    pub number: u32,
    /// Name of its instance.
    pub instance: String,
    /// When its end became known.
    pub at: Time,
    /// How it ended.
    pub outcome: Outcome,
}

impl EndedRow {
    /// The row form of an ended attempt.
    pub(crate) fn new(world: &World, ended: &Ended) -> Self {
        let instance = name::of_instance(world, ended.instance);
        Self { number: ended.number, instance, at: ended.at, outcome: ended.outcome }
    }

    /// The ended attempt of a row.
    pub(crate) fn open(self, world: &mut World, pool: key::Pool) -> Ended {
        let instance = name::instance(world, pool, &self.instance);
        Ended { number: self.number, instance, at: self.at, outcome: self.outcome }
    }
}
