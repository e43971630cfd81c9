//! Where a revision is in force.

use std::collections::BTreeMap;

use fleet::config::Revision;
use serde::Deserialize;
use serde::Serialize;

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
pub struct Rollout {
    /// Which revision.
    pub revision: Revision,
    /// Names of the entries that have it, or a later one, in force.
    pub in_force: Vec<String>,
    /// The others.
    pub missing: Vec<Missing>,
}

/// What is known of one entry's configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryReport {
    /// The highest revision that it said it has in force.
    pub revision: Revision,
    /// Whether it is heard of at present.
    pub reachable: bool,
}

impl Rollout {
    /// Where `revision` is in force, from what is known of every entry by name.
    pub fn new(revision: Revision, entries: &BTreeMap<String, EntryReport>) -> Self {
        let mut reach = Self { revision, ..Self::default() };
        for (name, word) in entries {
            let entry = name.clone();
            match word {
                word if word.revision >= revision => reach.in_force.push(entry),
                EntryReport { reachable: true, revision } => {
                    reach.missing.push(Missing { entry, cause: Cause::Behind(*revision) });
                }
                EntryReport { reachable: false, .. } => {
                    reach.missing.push(Missing { entry, cause: Cause::Unreachable });
                }
            }
        }
        reach
    }

    /// Whether it is in force everywhere.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}
