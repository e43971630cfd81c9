//! A job and its attempts.

use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::config::Size;
use crate::key;
use crate::time::Time;

/// Ended attempts that a job remembers.
pub const MAX_HISTORY: usize = 8;

/// A job that was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its name, unique in the site.
    pub name: String,
    /// The team it counts against.
    pub team: key::Team,
    /// The pool whose instances run it.
    pub pool: key::Pool,
    /// Its kind, as configured; jobs of one kind are compared with each other.
    pub kind: Arc<str>,
    /// What it is.
    pub spec: config::Job,
    /// What the submitter handed in for the task.
    pub input: String,
    /// When it was submitted.
    pub submitted: Time,
    /// How it stands.
    pub state: State,
    /// Since when it stands so.
    pub since: Time,
    /// Number of its latest attempt; 0 before the first.
    pub last_attempt: u32,
    /// What its next attempt is booked for at least: as declared, or as learnt from an overrun.
    pub need: Size,
    /// When it may be tried again.
    pub retry_at: Time,
    /// Where its last checkpoint is.
    pub checkpoint: Option<String>,
    /// Its latest ended attempts, at most [`HISTORY`].
    pub history: Vec<Ended>,
    /// Whether it was asked to be cancelled.
    pub cancelled: bool,
}

/// How a job stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum State {
    /// Waits to be placed.
    #[default]
    Queued,
    /// An attempt is recorded, and runs or is about to.
    Running(Attempt),
    /// The attempt's worker is lost; it may run there until its lease has lapsed.
    Unknown(Attempt, Loss),
    /// The lease has lapsed, and the job may have run and may not run twice: a person decides.
    Unresolved(Attempt),
    /// Set aside until a person resolves or cancels it.
    Parked(Fault),
    /// Over.
    Done(End),
}

impl State {
    /// The attempt that holds room on an instance.
    pub const fn placed(&self) -> Option<&Attempt> {
        match self {
            Self::Running(attempt) | Self::Unknown(attempt, _) => Some(attempt),
            Self::Queued | Self::Unresolved(_) | Self::Parked(_) | Self::Done(_) => None,
        }
    }

    /// The attempt whose end is not known yet.
    pub const fn open(&self) -> Option<&Attempt> {
        match self {
            Self::Running(attempt) | Self::Unknown(attempt, _) | Self::Unresolved(attempt) => {
                Some(attempt)
            }
            Self::Queued | Self::Parked(_) | Self::Done(_) => None,
        }
    }

    /// Whether a person has to decide what becomes of the job.
    pub const fn needs_operator(&self) -> bool {
        matches!(self, Self::Unresolved(_) | Self::Parked(_))
    }

    /// A word for it.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running(_) => "running",
            Self::Unknown(..) => "unknown",
            Self::Unresolved(_) => "unresolved",
            Self::Parked(_) => "parked",
            Self::Done(End::Succeeded) => "succeeded",
            Self::Done(End::Failed(_)) => "failed",
            Self::Done(End::Cancelled) => "cancelled",
        }
    }
}

/// One attempt to run a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number, from 1.
    pub number: u32,
    /// Where it runs.
    pub instance: key::Instance,
    /// The instance's epoch when the attempt was recorded.
    pub epoch: u64,
    /// The boot of the worker that it was recorded for; no other is told to start it.
    pub boot: u64,
    /// When it was recorded, before its worker was told.
    pub started: Time,
    /// What is booked for it.
    pub booked: Size,
    /// When what is booked was last corrected.
    pub corrected: Time,
    /// What is being done to it.
    pub action: Action,
    /// Since when.
    pub action_since: Time,
}

/// What is being done to an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Action {
    /// It runs.
    #[default]
    Run,
    /// It is held to this much.
    Throttle(Size),
    /// It writes a checkpoint and ends.
    Checkpoint(Cause),
    /// It is stopped.
    Stop(Cause),
}

impl Action {
    /// Whether the attempt is about to give up its room.
    pub const fn is_ending(self) -> bool {
        matches!(self, Self::Checkpoint(_) | Self::Stop(_))
    }
}

/// Why an attempt is checkpointed or stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// To make room for urgent work or for a team's own quota.
    #[display("preemption")]
    Preemption,
    /// It used more than it may.
    #[display("overrun")]
    Overrun,
    /// Its instance is draining.
    #[display("drain")]
    Drain,
    /// It was cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// How an attempt was lost, and until when it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// What was seen.
    pub symptom: Symptom,
    /// When its lease has lapsed for certain.
    pub until: Time,
    /// Whose clock says so; see [`World::clock`](crate::world::World::clock).
    pub clock_id: u64,
}

/// What showed that an attempt is lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Symptom {
    /// Its worker does not answer: no lease is renewed, and time alone settles it.
    #[serde(rename = "silent")]
    #[display("silent")]
    Unresponsive,
    /// Its worker answers and does not list it: a report from after the lapse settles it.
    #[display("missing")]
    Missing,
}

/// An attempt that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Its number.
    pub number: u32,
    /// Where it ran.
    pub instance: key::Instance,
    /// When that became known.
    pub at: Time,
    /// How it ended.
    pub outcome: Outcome,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Well.
    #[display("succeeded")]
    Succeeded,
    /// In failure.
    #[display("failed")]
    Failed,
    /// With a checkpoint to go on from.
    #[display("checkpointed")]
    Checkpointed,
    /// Stopped in the middle.
    #[display("stopped")]
    Stopped,
    /// Its worker was lost and its lease has lapsed.
    #[display("lost")]
    Lost,
    /// Its worker refused it: it never ran.
    #[display("refused")]
    Refused,
}

impl Outcome {
    /// What it says of the worker: `Some(true)` for a success, `Some(false)` for a failure.
    pub const fn worker_success(self) -> Option<bool> {
        match self {
            Self::Succeeded | Self::Checkpointed => Some(true),
            Self::Failed => Some(false),
            Self::Stopped | Self::Lost | Self::Refused => None,
        }
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Well.
    #[display("succeeded")]
    Succeeded,
    /// In failure, for good.
    #[display("failed: {_0}")]
    Failed(Fault),
    /// Cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// What is wrong with a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It ran and failed, and may not run twice.
    #[display("it ran and failed, and may not run twice")]
    Failed,
    /// It failed at as many workers as it may, and others did well there.
    #[display("it failed at every worker that it was tried on")]
    FailsEverywhere,
    /// It was stopped in the middle, and may not run twice.
    #[display("it was stopped in the middle, and may not run twice")]
    Interrupted,
    /// It used more than it may, each time.
    #[display("it used more than it may, each time")]
    Overruns,
    /// Worker after worker was lost while it ran.
    #[display("worker after worker was lost while it ran")]
    LosesWorkers,
    /// An operator said so.
    #[display("an operator settled it as failed")]
    Operator,
}

impl Job {
    /// Failures of this job that count against it, at workers for which `sound` holds.
    pub fn failures(&self, sound: impl Fn(key::Instance) -> bool) -> u32 {
        let failed = self.history.iter().filter(|ended| ended.outcome == Outcome::Failed);
        failed.filter(|ended| sound(ended.instance)).count() as u32
    }

    /// How many of its remembered attempts ended so.
    pub fn count(&self, outcome: Outcome) -> u32 {
        self.history.iter().filter(|ended| ended.outcome == outcome).count() as u32
    }

    /// Whether it failed at this instance before.
    pub fn failed_at(&self, instance: key::Instance) -> bool {
        let mut failed = self.history.iter().filter(|ended| ended.outcome == Outcome::Failed);
        failed.any(|ended| ended.instance == instance)
    }

    /// Whether an attempt of it that ended with no result may be followed by another.
    pub const fn may_repeat(&self) -> bool {
        self.spec.idempotent
    }
}
