//! A job and its attempts.

use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::config::Size;
use crate::key;
use crate::time::Time;

/// Ended attempts that are kept for each job.
pub const MAX_HISTORY: usize = 8;

/// A submitted job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its name, unique in the site.
    pub name: String,
    /// The team it counts against.
    pub team: key::Team,
    /// The pool whose instances run it.
    pub pool: key::Pool,
    /// Its kind, as configured. Sizes and failure rates are learned for each kind.
    pub kind: Arc<str>,
    /// Its specification: resources, run time, priority and restart rules.
    pub spec: config::Job,
    /// Input for the task, as submitted.
    pub input: String,
    /// When it was submitted.
    pub submitted: Time,
    /// Its current state.
    pub state: State,
    /// When it entered that state.
    pub since: Time,
    /// Number of its latest attempt; 0 before the first.
    pub last_attempt: u32,
    /// Minimum booking of its next attempt: as declared, or raised after an overrun. After a reported
    /// success, the booking of the last attempt.
    pub need: Size,
    /// Earliest time of its next attempt.
    pub retry_at: Time,
    /// Location of its last checkpoint.
    pub checkpoint: Option<String>,
    /// Its latest ended attempts, oldest first, at most [`MAX_HISTORY`].
    pub history: Vec<Ended>,
    /// Whether its cancellation was requested.
    pub cancelled: bool,
}

/// State of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum State {
    /// Waits for placement.
    #[default]
    Queued,
    /// An attempt is recorded and running, or about to start.
    Running(Attempt),
    /// The attempt is lost; it may still run until its lease has expired.
    Unknown(Attempt, Loss),
    /// The lease of a lost attempt has expired. The job may have run and may not run twice, so an
    /// operator has to decide.
    Unresolved(Attempt),
    /// Set aside until an operator resolves or cancels it.
    Parked(Fault),
    /// Ended.
    Done(End),
}

impl State {
    /// The attempt that has resources booked on an instance.
    pub const fn placed(&self) -> Option<&Attempt> {
        match self {
            Self::Running(attempt) | Self::Unknown(attempt, _) => Some(attempt),
            Self::Queued | Self::Unresolved(_) | Self::Parked(_) | Self::Done(_) => None,
        }
    }

    /// The attempt whose outcome is not known yet.
    pub const fn open(&self) -> Option<&Attempt> {
        match self {
            Self::Running(attempt) | Self::Unknown(attempt, _) | Self::Unresolved(attempt) => {
                Some(attempt)
            }
            Self::Queued | Self::Parked(_) | Self::Done(_) => None,
        }
    }

    /// Whether the job waits until an operator settles it.
    pub const fn needs_operator(&self) -> bool {
        matches!(self, Self::Unresolved(_) | Self::Parked(_))
    }

    /// Name of the state, as shown to clients and operators.
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
    /// Boot of the worker that it was recorded for; no other boot is sent its start command.
    pub boot: u64,
    /// When it was recorded, before its worker was sent the start command.
    pub started: Time,
    /// Resources booked for it.
    pub booked: Size,
    /// When the booking was last resized; at first, when the attempt was recorded.
    pub corrected: Time,
    /// What its worker is to do with it.
    pub action: Action,
    /// When `action` was last set.
    pub action_since: Time,
}

/// What a worker is to do with an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Action {
    /// Run it.
    #[default]
    Run,
    /// Run it with at most these resources.
    Throttle(Size),
    /// Have it write a checkpoint and end.
    Checkpoint(Cause),
    /// Stop it.
    Stop(Cause),
}

impl Action {
    /// Whether the attempt is about to end and release its resources.
    pub const fn is_ending(self) -> bool {
        matches!(self, Self::Checkpoint(_) | Self::Stop(_))
    }
}

/// Why an attempt is checkpointed or stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// To free capacity for urgent work or for work within a team's quota.
    #[display("preemption")]
    Preemption,
    /// It exceeded its booking.
    #[display("overrun")]
    Overrun,
    /// Its instance is draining.
    #[display("drain")]
    Drain,
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// Why an attempt counts as lost, and until when it may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// What was observed.
    pub symptom: Symptom,
    /// Time after which its lease has certainly expired.
    pub until: Time,
    /// Clock by which `until` is measured; see [`World::clock_id`](crate::world::World::clock_id).
    pub clock_id: u64,
}

/// The observation by which an attempt counts as lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Symptom {
    /// Its worker does not answer. The lease is not renewed, so the attempt has ended once the
    /// lease has expired.
    #[serde(rename = "silent")]
    #[display("silent")]
    Unresponsive,
    /// Its worker answers but does not list the attempt. A report created after the lease has expired
    /// shows whether the attempt has ended.
    #[display("missing")]
    Missing,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Its number.
    pub number: u32,
    /// Where it ran.
    pub instance: key::Instance,
    /// When its end became known.
    pub at: Time,
    /// How it ended.
    pub outcome: Outcome,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Success.
    #[display("succeeded")]
    Succeeded,
    /// Failure.
    #[display("failed")]
    Failed,
    /// Ended after writing a checkpoint to resume from.
    #[display("checkpointed")]
    Checkpointed,
    /// Stopped before its end.
    #[display("stopped")]
    Stopped,
    /// Its worker was lost and its lease has expired.
    #[display("lost")]
    Lost,
    /// Its worker refused to start it; it never ran.
    #[display("refused")]
    Refused,
}

impl Outcome {
    /// Whether the outcome counts as a success (`true`) or a failure (`false`) of the worker;
    /// `None` if it says nothing about the worker.
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
    /// Success.
    #[display("succeeded")]
    Succeeded,
    /// Permanent failure.
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
    /// It failed on as many healthy workers as the limit of attempts allows.
    #[display("it failed at every worker that it was tried on")]
    FailsEverywhere,
    /// It was stopped before its end, and may not run twice.
    #[display("it was stopped in the middle, and may not run twice")]
    Interrupted,
    /// It exceeded its booking in every attempt, up to the limit of attempts.
    #[display("it used more than it may, each time")]
    Overruns,
    /// Its workers were lost in as many attempts as the limit allows.
    #[display("worker after worker was lost while it ran")]
    LosesWorkers,
    /// An operator settled it as failed.
    #[display("an operator settled it as failed")]
    Operator,
}

impl Job {
    /// Number of failed attempts in the history on instances for which `is_healthy` returns `true`.
    pub fn failures(&self, is_healthy: impl Fn(key::Instance) -> bool) -> u32 {
        let failed = self.history.iter().filter(|ended| ended.outcome == Outcome::Failed);
        failed.filter(|ended| is_healthy(ended.instance)).count() as u32
    }

    /// Number of attempts in the history that ended with `outcome`.
    pub fn count(&self, outcome: Outcome) -> u32 {
        self.history.iter().filter(|ended| ended.outcome == outcome).count() as u32
    }

    /// Whether an attempt in the history failed on this instance.
    pub fn failed_at(&self, instance: key::Instance) -> bool {
        let mut failed = self.history.iter().filter(|ended| ended.outcome == Outcome::Failed);
        failed.any(|ended| ended.instance == instance)
    }

    /// Whether an attempt that ended without a result may be followed by another.
    pub const fn may_repeat(&self) -> bool {
        self.spec.idempotent
    }
}
