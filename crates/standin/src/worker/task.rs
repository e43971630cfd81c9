//! How a make-believe task behaves.

use contract::Size;
use serde::Deserialize;
use serde::Serialize;

/// How a task behaves, whatever was declared of it: the input of a job for this worker, as JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Task {
    /// How long it runs, milliseconds.
    pub run_ms: Option<u64>,
    /// Whether it fails at its end.
    pub fails: bool,
    /// What it uses; what it was given, if nothing is said.
    pub usage: Option<Size>,
}

impl Task {
    /// The task of an input; a plain one if it says nothing that can be read.
    pub fn read(input: &str) -> Self {
        serde_json::from_str(input).unwrap_or_default()
    }
}
