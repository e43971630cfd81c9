//! A job's specification in a row.

use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::config::Priority;
use crate::row::size::Size;

/// [`config::Job`] without its pool. Unlike that, it ignores fields of newer versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct SpecRow {
    /// Declared size.
    pub size: Size,
    /// Declared run time, seconds.
    pub seconds: u32,
    /// Priority.
    pub priority: Priority,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it may be checkpointed to free capacity.
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
    /// The specification, with an empty name of the pool.
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
