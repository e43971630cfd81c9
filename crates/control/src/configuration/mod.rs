//! Configuration documents: applying changes, distributing and adopting revisions.
//!
//! * [`Change`], [`Apply`]: a change and how it is recorded at most once.
//! * [`Adoption`]: the documents in force in this process; their revision never decreases.
//! * [`Startup`]: when a starting process may serve callers.
//! * [`Rollout`]: which entries have a revision in force.

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
    /// The revision that the author saw; the change applies only if this is still the current one.
    pub seen: Revision,
    /// The complete new documents of the organisation.
    pub document: Document,
}

/// The revisions recorded since the one that a rejected change was based on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The revision that the change was based on.
    pub seen: Revision,
    /// The revision in force.
    pub current: Revision,
    /// History of the revisions after `seen`, oldest first.
    pub entries: Vec<Entry>,
}

/// A change that is certainly recorded, or the preview of one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Revision of the change.
    pub revision: Revision,
    /// Differences in the rendered configuration.
    pub effect: Vec<template::Difference>,
    /// Warnings about the new configuration.
    pub warnings: Vec<template::Problem>,
}
