//! What an instance reports: the answer to `GET report`.

use derive_more::Display;
use fleet::fact;
use serde::Deserialize;
use serde::Serialize;

use super::Moment;
use super::Serving;
use super::Size;

/// How an attempt stands at its instance.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Running.
    #[default]
    #[display("running")]
    Running,
    /// Running with less than it asked for.
    #[display("throttled")]
    Throttled,
    /// Writing its checkpoint; it still uses what it has.
    #[display("checkpointing")]
    Checkpointing,
    /// Ended, and can go on elsewhere from its checkpoint.
    #[display("checkpointed")]
    Checkpointed,
    /// Ended well.
    #[display("succeeded")]
    Succeeded,
    /// Ended in failure.
    #[display("failed")]
    Failed,
    /// Ended because it was told to, or because the lease lapsed.
    #[display("stopped")]
    Stopped,
}

impl Phase {
    /// Whether the attempt uses nothing any more and never will.
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

/// One attempt, in a [`Report`] and as the answer to each `POST attempts/…`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the job.
    pub job: String,
    /// Number of the attempt.
    pub number: u32,
    /// How it stands.
    pub phase: Phase,
    /// What it used when the report's usage was taken.
    #[serde(default)]
    pub usage: Size,
    /// Where its last checkpoint is, where it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// Answer to `GET report`: every attempt that runs, and every ended one until it is forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest epoch that the instance has been told.
    pub epoch: u64,
    /// Whether it takes new work.
    pub serving: Serving,
    /// The instance's own time as it answered.
    pub now: Moment,
    /// How old the usage figures are, milliseconds.
    #[serde(default)]
    pub age_ms: u32,
    /// Service requests it works on.
    #[serde(default)]
    pub in_flight: u32,
    /// Attempts it runs, and those that ended and are not forgotten.
    #[serde(default)]
    pub attempts: Vec<Attempt>,
}
