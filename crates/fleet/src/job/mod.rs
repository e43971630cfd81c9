//! Jobs: placement over processors, memory and accelerators, attempts, overruns, quarantine.

use crate::config;
use crate::key;
use crate::time::Time;

/// A job that was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its name, unique in the site.
    pub name: String,
    /// The team it counts against.
    pub team: key::Team,
    /// What it is.
    pub spec: config::Job,
    /// When it was submitted.
    pub submitted: Time,
}

/// What the job systems want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start an attempt.
    Start {
        /// Which job.
        job: key::Job,
        /// Where.
        instance: key::Instance,
    },
}
