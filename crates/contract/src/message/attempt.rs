//! Request bodies of `POST attempts/…`.

use serde::Deserialize;
use serde::Serialize;

use super::Lease;
use super::Size;

/// Body of `POST attempts/start`.
///
/// Idempotent: a repeated job and number only returns the state of that attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Name of the job, unique in the site.
    pub job: String,
    /// Number of the attempt, from 1. The instance refuses a number lower than the highest that it
    /// knows for the job.
    pub number: u32,
    /// Epoch of the instance in the sender's table.
    pub epoch: u64,
    /// Lease under which the instance runs its attempts.
    pub lease: Lease,
    /// Resources that the attempt may use.
    pub size: Size,
    /// Kind of job, as configured.
    pub kind: String,
    /// Input for the task, as submitted.
    #[serde(default)]
    pub input: String,
    /// Location of the checkpoint to resume from, as reported by an earlier attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// Body of `POST attempts/checkpoint`, `attempts/stop` and `attempts/forget`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the job.
    pub job: String,
    /// Number of the attempt.
    pub number: u32,
    /// Epoch of the instance in the sender's table.
    pub epoch: u64,
}

/// Body of `POST attempts/throttle`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The attempt to throttle.
    #[serde(flatten)]
    pub target: Target,
    /// Resources that the attempt may use from now on.
    pub to: Size,
}
