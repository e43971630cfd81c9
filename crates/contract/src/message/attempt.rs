//! What an instance is told about attempts: the bodies of `POST attempts/…`.

use serde::Deserialize;
use serde::Serialize;

use super::Lease;
use super::Size;

/// Body of `POST attempts/start`.
///
/// The same job and number again changes nothing and answers how that attempt stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Name of the job, unique in the site.
    pub job: String,
    /// Number of the attempt, from 1. A lower one than the instance knows is refused.
    pub number: u32,
    /// Epoch of the instance in the sender's table.
    pub epoch: u64,
    /// How long the instance may run attempts.
    pub lease: Lease,
    /// What the attempt may use.
    pub size: Size,
    /// Kind of job, as configured.
    pub kind: String,
    /// What the submitter handed in for the task.
    #[serde(default)]
    pub input: String,
    /// Checkpoint to go on from, as an earlier attempt reported it.
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
    /// Which attempt.
    #[serde(flatten)]
    pub target: Target,
    /// Most that it may use from now on.
    pub to: Size,
}
