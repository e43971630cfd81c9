//! Documents applied, passed on and adopted.

pub mod row;

pub use row::Current;
pub use row::Entry;

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
    /// What has changed in the organisation's documents, if the revision seen is still known.
    pub documents: Vec<template::Difference>,
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

/// Why an entry does not have a revision in force yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Neither it nor anyone who heard of it can be reached.
    #[display("unreachable")]
    Unreachable,
    /// It still has this revision.
    #[display("behind at {_0}")]
    Behind(Revision),
}

/// An entry that does not have a revision in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// Its name.
    pub entry: String,
    /// Why.
    pub cause: Cause,
}

/// Where a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// Which revision.
    pub revision: Revision,
    /// Names of the entries that have it, or a later one, in force.
    pub in_force: Vec<String>,
    /// The others.
    pub missing: Vec<Missing>,
}

impl Reach {
    /// Whether it is in force everywhere.
    pub fn is_everywhere(&self) -> bool {
        self.missing.is_empty()
    }
}
