//! Documents applied, passed on and adopted.
//!
//! * [`Change`], [`Apply`]: how a change is recorded, once or not at all.
//! * [`Adoption`]: which documents are in force in this process; their revision only rises.
//! * [`Startup`]: when a process that has just started may serve callers.
//! * [`Rollout`]: where a revision is in force.

mod adoption;
mod apply;
mod rollout;
pub mod row;
mod startup;

pub use adoption::Adoption;
pub use adoption::Verdict;
pub use apply::Apply;
pub use apply::ApplyOutcome;
pub use apply::Next;
pub use rollout::Cause;
pub use rollout::EntryReport;
pub use rollout::Missing;
pub use rollout::Rollout;
pub use row::Current;
pub use row::Entry;
pub use startup::LISTEN_PERIOD;
pub use startup::MIN_PEERS;
pub use startup::Startup;
pub use startup::StartupEvidence;

use fleet::config::Revision;
use fleet::template;
use fleet::template::Document;
use serde::Deserialize;
use serde::Serialize;

/// A change of one organisation's documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that its author saw; it is applied only if that one is still in force.
    pub seen: Revision,
    /// The organisation's documents, whole.
    pub document: Document,
}

/// What has come between a change and the revision it was made from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The revision that was seen.
    pub seen: Revision,
    /// The revision in force.
    pub current: Revision,
    /// Revisions since the one that was seen, oldest first.
    pub entries: Vec<Entry>,
}

/// A change that is recorded for certain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Its revision.
    pub revision: Revision,
    /// What it changes in the configuration.
    pub effect: Vec<template::Difference>,
    /// What someone should know about it.
    pub warnings: Vec<template::Problem>,
}
