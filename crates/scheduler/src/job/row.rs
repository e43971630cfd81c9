//! The rows that keep a job: its body, written once, and its progress.

use serde::Deserialize;
use serde::Serialize;

use super::Spec;
use super::State;

/// What a caller submitted. Dropped once the job has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// Name of the queue.
    pub queue: String,
    /// Service whose instances ran its tasks when it came.
    pub service: String,
    /// The store's clock when it came, in milliseconds.
    pub submitted_ms: u64,
    /// What was asked for.
    pub spec: Spec,
}

/// How far a job is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State of the job as a whole.
    pub state: State,
    /// Name of the queue.
    pub queue: String,
    /// Tasks that have been placed at least once, by place.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<Placement>,
}

/// How far a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Place among the job's tasks.
    #[serde(rename = "i")]
    pub index: u32,
    /// Number of its newest run.
    #[serde(rename = "r")]
    pub run: u32,
    /// Runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Whether it is done.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Instance on which the newest run may be.
    #[serde(rename = "o", default, skip_serializing_if = "String::is_empty")]
    pub instance: String,
    /// Life of that instance, as the Unix time of its start in milliseconds; nought if unknown.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero_long")]
    pub incarnation: u64,
    /// Newest checkpoint.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_zero_long(value: &u64) -> bool {
    *value == 0
}
