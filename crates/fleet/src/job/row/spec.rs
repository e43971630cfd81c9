//! What a job is, in a row.

use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::config::Priority;
use crate::row::size::Size;

/// The same as [`config::Job`] without its pool, but open to fields of newer versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct SpecRow {
    /// What it is declared to need.
    pub size: Size,
    /// How long it is declared to run, seconds.
    pub seconds: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it may be checkpointed to make room.
    pub preemptible: bool,
}

impl From<&config::Job> for SpecRow {
    fn from(spec: &config::Job) -> Self {
        Self {
            size: spec.size.into(),
            seconds: spec.seconds,
            priority: spec.priority,
            idempotent: spec.idempotent,
            preemptible: spec.preemptible,
        }
    }
}

impl SpecRow {
    /// What the job is, but for the name of its pool.
    pub(crate) fn open(self) -> config::Job {
        config::Job {
            pool: String::new(),
            size: self.size.into(),
            seconds: self.seconds,
            priority: self.priority,
            idempotent: self.idempotent,
            preemptible: self.preemptible,
        }
    }
}
