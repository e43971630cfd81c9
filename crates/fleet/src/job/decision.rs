//! Decisions about jobs and workers.

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
    /// Add a job to the queue.
    Submit(Box<Job>),
    /// Record an attempt. Its worker may be sent the start command only after it is recorded.
    Start {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// The instance.
        instance: key::Instance,
        /// The instance's epoch.
        epoch: u64,
        /// The boot of its worker.
        boot: u64,
        /// Resources booked for it.
        booked: Size,
    },
    /// Change the resources booked for an attempt.
    Resize {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// Resources booked from now on.
        booked: Size,
    },
    /// Limit the resources that an attempt may use.
    Throttle {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// Resources that it may use.
        to: Size,
    },
    /// Have an attempt write a checkpoint and end.
    Checkpoint {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// The reason.
        cause: Cause,
    },
    /// Stop an attempt.
    Stop {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// The reason.
        cause: Cause,
    },
    /// An attempt has ended and the job goes back to the queue.
    Requeue {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Earliest time of the next attempt.
        retry_at: Time,
        /// Resources that its next attempt needs.
        need: Size,
        /// Location of the attempt's checkpoint, if it wrote one.
        checkpoint: Option<String>,
    },
    /// A job has ended.
    Finish {
        /// The job.
        job: key::Job,
        /// Number and outcome of its open attempt; `None` if no attempt is open.
        attempt: Option<(u32, Outcome)>,
        /// How the job ended.
        end: End,
    },
    /// Set a job aside until an operator resolves or cancels it.
    Park {
        /// The job.
        job: key::Job,
        /// Number and outcome of its open attempt; `None` if no attempt is open.
        attempt: Option<(u32, Outcome)>,
        /// What is wrong with it.
        fault: Fault,
    },
    /// An attempt is lost: whether it still runs is unknown until its lease has expired.
    Lost {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
        /// Why it counts as lost, and when the lease expires.
        loss: Loss,
    },
    /// A lost attempt is back in its worker's report.
    Found {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
    },
    /// The lease of a lost attempt has expired, and the job may not run twice: an operator has to
    /// decide.
    Ask {
        /// The job.
        job: key::Job,
        /// Number of the attempt.
        number: u32,
    },
    /// Cancel a job: at once if it is queued, by stopping its attempt if it runs.
    Cancel {
        /// The job.
        job: key::Job,
    },
    /// An operator settles a job that is unresolved or parked.
    Resolve {
        /// The job.
        job: key::Job,
        /// How it is settled.
        resolution: Resolution,
    },
    /// Delete a job whose retention time after its end has passed.
    Forget {
        /// The job.
        job: key::Job,
    },
    /// Start no attempts on a worker.
    Quarantine {
        /// The instance of the worker.
        instance: key::Instance,
        /// When the quarantine ends.
        until: Time,
        /// Failures that led to it.
        failures: u32,
    },
    /// Allow a worker one attempt at a time again.
    Probation {
        /// The instance of the worker.
        instance: key::Instance,
    },
    /// Restore full trust in a worker.
    Trust {
        /// The instance of the worker.
        instance: key::Instance,
    },
}

/// How an operator settles a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// The job did not run, or may run again: put it back into the queue.
    #[display("requeue")]
    Requeue,
    /// The job succeeded.
    #[display("succeeded")]
    Succeeded,
    /// The job failed.
    #[display("failed")]
    Failed,
}

impl Decision {
    /// Name of the decision in logs and counters.
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
