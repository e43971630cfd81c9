//! What a job was promised when it was accepted.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Queue;

/// The terms of a job, which are those of its queue when the job was accepted. They hold until the job has
/// ended: its queue may have another name by then, or be gone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Priority of the job; zero is the highest. Follows that of the queue while there is one.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Number of failed runs of one task that makes the job fail.
    #[serde(rename = "a")]
    pub max_attempts: u32,
    /// Time that the job may take, as a multiple of the length of its critical path.
    #[serde(rename = "x")]
    pub stretch: f64,
    /// Time that the job may take in addition to `stretch` times its critical path, in milliseconds.
    #[serde(rename = "l")]
    pub target_latency_ms: u64,
}

impl Terms {
    /// Terms of a job of which nothing is known: none of its tasks is tried again after a run has failed.
    pub const STRICTEST: Self =
        Self { priority: u32::MAX, max_attempts: 1, stretch: 1.0, target_latency_ms: 0 };

    /// Time that the job may take in addition to `stretch` times its critical path.
    pub const fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms)
    }
}

impl From<&Queue> for Terms {
    fn from(queue: &Queue) -> Self {
        Self {
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            target_latency_ms: queue.target_latency.as_millis() as u64,
        }
    }
}
