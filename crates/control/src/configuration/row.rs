//! Table rows of the configuration.

use fleet::config::Revision;
use fleet::template::Difference;
use fleet::template::Set;
use serde::Deserialize;
use serde::Serialize;

/// Key of the row that holds [`Current`].
pub const CURRENT: &str = "config/current";

/// Key prefix of the rows that hold an [`Entry`].
pub const HISTORY: &str = "config/history/";

/// The key of the history row of `revision`; keys sort in the order of revisions.
pub fn history(revision: Revision) -> String {
    format!("{HISTORY}{:012}", revision.0)
}

/// Serialises a row's value to JSON.
pub(crate) fn write(value: &impl Serialize) -> Option<String> {
    serde_json::to_string(value).ok()
}

/// Value of the row [`CURRENT`]: all documents at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// The operation that recorded this revision.
    pub operation: String,
    /// The documents of all organisations.
    pub set: Set,
}

/// An entry of the configuration history: one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision.
    pub revision: Revision,
    /// Who made the change.
    pub author: String,
    /// The operation that recorded it.
    pub operation: String,
    /// The organisation whose documents changed.
    pub organisation: String,
    /// When the change was made, by the clock of the entry that accepted it, seconds since 1970.
    /// For display only; no decision depends on it.
    pub unix_secs: u64,
    /// Differences in the organisation's documents, at most 100.
    #[serde(default)]
    pub changes: Vec<Difference>,
}
