//! Response bodies of `GET report` and `POST attempts/…`.

use derive_more::Display;
use fleet::fact;
use serde::Deserialize;
use serde::Serialize;

use super::Moment;
use super::Serving;
use super::Size;

/// Phase of an attempt at its instance.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Running.
    #[default]
    #[display("running")]
    Running,
    /// Running with fewer resources than requested.
    #[display("throttled")]
    Throttled,
    /// Writing its checkpoint. It still uses its resources.
    #[display("checkpointing")]
    Checkpointing,
    /// Ended after writing a checkpoint, from which another attempt can resume.
    #[display("checkpointed")]
    Checkpointed,
    /// Ended successfully.
    #[display("succeeded")]
    Succeeded,
    /// Ended with an error.
    #[display("failed")]
    Failed,
    /// Stopped by a call, or because the lease expired.
    #[display("stopped")]
    Stopped,
}

impl Phase {
    /// Whether the attempt has ended and uses no more resources.
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Checkpointed | Self::Succeeded | Self::Failed | Self::Stopped)
    }
}

impl From<Phase> for fact::Phase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Running | Phase::Checkpointing => Self::Running,
            Phase::Throttled => Self::Throttled,
            Phase::Checkpointed => Self::Checkpointed,
            Phase::Succeeded => Self::Succeeded,
            Phase::Failed => Self::Failed,
            Phase::Stopped => Self::Stopped,
        }
    }
}

/// An attempt in a [`Report`], and the response body of each `POST attempts/…`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the job.
    pub job: String,
    /// Number of the attempt.
    pub number: u32,
    /// Its phase.
    pub phase: Phase,
    /// Resources that it used when the instance measured them, [`Report::age_ms`] ago.
    #[serde(default)]
    pub usage: Size,
    /// Location of its last checkpoint, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// Response body of `GET report`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Highest epoch that the instance has received.
    pub epoch: u64,
    /// Whether the instance accepts new work.
    pub serving: Serving,
    /// The instance's clock at the time of the response.
    pub now: Moment,
    /// Age of the usage figures, milliseconds.
    #[serde(default)]
    pub age_ms: u32,
    /// Number of service requests in flight.
    #[serde(default)]
    pub in_flight: u32,
    /// Running attempts, and ended ones until `POST attempts/forget` removes them.
    #[serde(default)]
    pub attempts: Vec<Attempt>,
}
