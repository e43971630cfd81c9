//! Why an instance refused a call. A refused call has no effect.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Why an instance refused a call.
///
/// Names that this version does not know are read as [`Self::Other`].
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The message's epoch is lower than one that the instance has received before.
    #[display("old-epoch")]
    OldEpoch,
    /// The lease had expired on the instance's clock before the message arrived.
    #[display("lease-lapsed")]
    LeaseLapsed,
    /// The lease is for another start of the instance's process.
    #[display("other-boot")]
    OtherBoot,
    /// The instance is draining and accepts no new work.
    #[display("draining")]
    Draining,
    /// The instance does not have enough free resources for the attempt.
    #[display("no-room")]
    NoRoom,
    /// The instance knows no such attempt.
    #[display("no-such-attempt")]
    NoSuchAttempt,
    /// The instance knows a later attempt of the job.
    #[display("old-attempt")]
    OldAttempt,
    /// The call does not apply to the attempt: it has ended, or it does not support checkpoints.
    #[display("not-possible")]
    NotPossible,
    /// The message cannot be parsed.
    #[display("malformed")]
    Malformed,
    /// The contract has no such path or method.
    #[display("no-such-path")]
    NoSuchPath,
    /// Nothing was sent, since no connection to the instance could be opened. Set by the client.
    #[display("not-sent")]
    NotSent,
    /// A reason that only a newer version knows.
    #[default]
    #[display("other")]
    #[serde(other)]
    Other,
}

impl Reason {
    /// Whether a start refused for this reason has not run, and the instance will keep refusing
    /// it.
    ///
    /// [`Self::NotSent`] and [`Self::OtherBoot`] are not final: an earlier copy of the message may
    /// have reached the process that it was meant for and started the attempt.
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::NotSent | Self::OtherBoot)
    }

    /// The HTTP status of a response with this reason.
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

/// Response body of a refused call. The call had no effect.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{refused}: {detail}")]
pub struct Refusal {
    /// The reason.
    pub refused: Reason,
    /// Highest epoch that the instance has received.
    #[serde(default)]
    pub epoch: u64,
    /// Details for an operator.
    #[serde(default)]
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal with details for an operator.
    pub fn new(refused: Reason, epoch: u64, detail: impl Into<String>) -> Self {
        Self { refused, epoch, detail: detail.into() }
    }
}
