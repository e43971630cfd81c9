//! Progress of a revision's rollout to the entries.

use std::collections::BTreeMap;

use fleet::config::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Why an entry does not have a revision in force yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Neither its peers nor its heartbeat row show the entry as alive.
    #[display("unreachable")]
    Unreachable,
    /// The entry still has this revision in force.
    #[display("behind at {_0}")]
    Behind(Revision),
}

/// An entry that does not have a revision in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// Name of the entry.
    pub entry: String,
    /// Why it does not have the revision.
    pub cause: Cause,
}

/// Which entries have a revision in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The revision.
    pub revision: Revision,
    /// Names of the entries that have this revision or a later one in force.
    pub in_force: Vec<String>,
    /// The other entries.
    pub missing: Vec<Missing>,
}

/// What is known about the configuration of one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryReport {
    /// The highest revision that the entry has reported as in force.
    pub revision: Revision,
    /// Whether the entry is alive according to its peers or to its heartbeat row.
    pub reachable: bool,
}

impl Rollout {
    /// The rollout of `revision`, given a report on every entry by name.
    pub fn new(revision: Revision, entries: &BTreeMap<String, EntryReport>) -> Self {
        let mut rollout = Self { revision, ..Self::default() };
        for (name, report) in entries {
            let entry = name.clone();
            match report {
                report if report.revision >= revision => rollout.in_force.push(entry),
                EntryReport { reachable: true, revision } => {
                    rollout.missing.push(Missing { entry, cause: Cause::Behind(*revision) });
                }
                EntryReport { reachable: false, .. } => {
                    rollout.missing.push(Missing { entry, cause: Cause::Unreachable });
                }
            }
        }
        rollout
    }

    /// Whether all entries have the revision in force.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}
