//! A worker's standing: trusted, in quarantine or on probation.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Time;

/// What is held against the worker of an instance. One that was never suspected has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Worker {
    /// Name of the instance whose worker it is.
    pub instance: String,
    /// Its standing.
    pub trust: Trust,
    /// Since when. Only what happened later counts for or against it.
    pub since: Time,
    /// When its quarantine ends.
    pub until: Time,
    /// How often it was in quarantine.
    pub quarantines: u32,
}

/// Whether a worker gets attempts.
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
    /// It gets attempts.
    #[default]
    #[display("trusted")]
    Trusted,
    /// It gets one attempt at a time, of jobs that may run twice and are not urgent.
    #[display("probation")]
    Probation,
    /// It gets none.
    #[display("quarantine")]
    Quarantine,
}
