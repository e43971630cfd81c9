//! Trust in a worker: trusted, on probation or in quarantine.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Time;

/// Trust in the worker of an instance. Workers that are fully trusted have no entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Worker {
    /// Name of the instance whose worker it is.
    pub instance: String,
    /// Its trust level.
    pub trust: Trust,
    /// When that level was set. Only later attempts count for or against the worker.
    pub since: Time,
    /// When its latest quarantine ends.
    pub until: Time,
    /// Number of its quarantines.
    pub quarantines: u32,
}

/// Trust level of a worker, which decides what may be started on it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize
)]
#[serde(rename_all = "kebab-case")]
pub enum Trust {
    /// Any attempts may be started on it.
    #[default]
    #[display("trusted")]
    Trusted,
    /// One attempt at a time, only of idempotent jobs that are not urgent.
    #[display("probation")]
    Probation,
    /// No attempts are started on it.
    #[display("quarantine")]
    Quarantine,
}
