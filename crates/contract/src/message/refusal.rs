//! Why an instance refused, having done nothing.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The closed list of reasons.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The message's epoch is lower than one the instance was told before.
    #[display("old-epoch")]
    OldEpoch,
    /// The lease had lapsed on the instance's clock before the message arrived.
    #[display("lease-lapsed")]
    LeaseLapsed,
    /// The lease counts from another start of the instance.
    #[display("other-boot")]
    OtherBoot,
    /// The instance is draining and takes no new work.
    #[display("draining")]
    Draining,
    /// The attempt does not fit beside what runs.
    #[display("no-room")]
    NoRoom,
    /// The instance knows no such attempt.
    #[display("no-such-attempt")]
    NoSuchAttempt,
    /// The instance knows a later attempt of the job.
    #[display("old-attempt")]
    OldAttempt,
    /// The attempt cannot do that: it is over, or keeps no checkpoints.
    #[display("not-possible")]
    NotPossible,
    /// The message cannot be read.
    #[display("malformed")]
    Malformed,
    /// The contract has no such path or method.
    #[display("no-such-path")]
    NoSuchPath,
    /// Nothing was sent: the instance could not be connected to.
    #[display("not-sent")]
    NotSent,
    /// A reason of a newer version.
    #[default]
    #[display("other")]
    #[serde(other)]
    Other,
}

impl Reason {
    /// Whether a refused start has not run, and the worker will go on refusing it. Where nothing
    /// was sent, or to another process than meant, an earlier copy may yet have run.
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::NotSent | Self::OtherBoot)
    }

    /// The HTTP status that goes with it.
    pub const fn status(self) -> u16 {
        match self {
            Self::OldEpoch | Self::LeaseLapsed | Self::OtherBoot => 409,
            Self::OldAttempt | Self::NotPossible => 409,
            Self::Draining | Self::NoRoom | Self::NotSent | Self::Other => 503,
            Self::NoSuchAttempt | Self::NoSuchPath => 404,
            Self::Malformed => 400,
        }
    }
}

/// Body of an answer that says no: nothing was done.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{refused}: {detail}")]
pub struct Refusal {
    /// Why.
    pub refused: Reason,
    /// The highest epoch that the instance has been told.
    #[serde(default)]
    pub epoch: u64,
    /// More about it, for a person.
    #[serde(default)]
    pub detail: String,
}

impl Refusal {
    /// A refusal with words for a person.
    pub fn new(refused: Reason, epoch: u64, detail: impl Into<String>) -> Self {
        Self { refused, epoch, detail: detail.into() }
    }
}
