//! What the job systems want done.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::Cause;
use super::End;
use super::Fault;
use super::Job;
use super::Loss;
use super::Outcome;
use crate::config::Size;
use crate::key;
use crate::time::Time;

/// One decision about a job or a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Take a job into the queue.
    Submit(Box<Job>),
    /// Record an attempt. Its worker may only be told once that is done.
    Start {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// Where.
        instance: key::Instance,
        /// The instance's epoch.
        epoch: u64,
        /// The boot of its worker.
        boot: u64,
        /// What is booked for it.
        booked: Size,
    },
    /// Correct what is booked for an attempt.
    Resize {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// What is booked from now on.
        booked: Size,
    },
    /// Hold an attempt to less.
    Throttle {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// What it may use.
        to: Size,
    },
    /// Have an attempt write a checkpoint and end.
    Checkpoint {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// Why.
        cause: Cause,
    },
    /// Stop an attempt.
    Stop {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// Why.
        cause: Cause,
    },
    /// An attempt is over and the job goes back to the queue.
    Requeue {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// When the job may be tried again.
        retry_at: Time,
        /// What its next attempt needs.
        need: Size,
        /// Where the attempt's checkpoint is, if it wrote one.
        checkpoint: Option<String>,
    },
    /// A job is over.
    Finish {
        /// Which job.
        job: key::Job,
        /// Its last attempt and how that ended, where there was one.
        attempt: Option<(u32, Outcome)>,
        /// How the job ended.
        end: End,
    },
    /// A job is set aside until a person resolves or cancels it.
    Park {
        /// Which job.
        job: key::Job,
        /// Its last attempt and how that ended, where there was one.
        attempt: Option<(u32, Outcome)>,
        /// What is wrong with it.
        fault: Fault,
    },
    /// An attempt's worker is lost: the attempt may or may not run.
    Lost {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// What was seen and when the lease has lapsed.
        loss: Loss,
    },
    /// A lost attempt is listed by its worker again.
    Found {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
    },
    /// The lease of a lost attempt has lapsed, and the job may not run twice: a person decides.
    Ask {
        /// Which job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
    },
    /// Cancel a job: at once where it is queued, by a stop where it runs.
    Cancel {
        /// Which job.
        job: key::Job,
    },
    /// An operator settles a job that waits for a person.
    Resolve {
        /// Which job.
        job: key::Job,
        /// How.
        resolution: Resolution,
    },
    /// Drop a job that has been over for long.
    Forget {
        /// Which job.
        job: key::Job,
    },
    /// Send a worker no attempts.
    Quarantine {
        /// Whose worker.
        instance: key::Instance,
        /// Until when.
        until: Time,
        /// Failures that led to it.
        failures: u32,
    },
    /// Try a worker again, with one attempt at a time.
    Probation {
        /// Whose worker.
        instance: key::Instance,
    },
    /// Trust a worker again.
    Trust {
        /// Whose worker.
        instance: key::Instance,
    },
}

/// How an operator settles a job that waits for a person.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// It did not run, or may run again: back to the queue.
    #[display("requeue")]
    Requeue,
    /// It ran well.
    #[display("succeeded")]
    Succeeded,
    /// It ran and failed.
    #[display("failed")]
    Failed,
}

impl Decision {
    /// A word for it.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Start { .. } => "start",
            Self::Resize { .. } => "resize",
            Self::Throttle { .. } => "throttle",
            Self::Checkpoint { .. } => "checkpoint",
            Self::Stop { .. } => "stop",
            Self::Requeue { .. } => "requeue",
            Self::Finish { .. } => "finish",
            Self::Park { .. } => "park",
            Self::Lost { .. } => "lost",
            Self::Found { .. } => "found",
            Self::Ask { .. } => "ask",
            Self::Cancel { .. } => "cancel",
            Self::Resolve { .. } => "resolve",
            Self::Forget { .. } => "forget",
            Self::Quarantine { .. } => "quarantine",
            Self::Probation { .. } => "probation",
            Self::Trust { .. } => "trust",
        }
    }
}
