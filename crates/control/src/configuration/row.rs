//! The rows that hold the configuration.

use fleet::config::Revision;
use fleet::template::Difference;
use fleet::template::Set;
use serde::Deserialize;
use serde::Serialize;

/// Key of the row that holds [`Current`].
pub const CURRENT: &str = "config/current";

/// Where the rows of [`Entry`] start.
pub const HISTORY: &str = "config/history/";

/// The key of the row of `revision`; keys sort as revisions do.
pub fn history(revision: Revision) -> String {
    format!("{HISTORY}{:012}", revision.0)
}

/// A row's value.
pub(crate) fn write(value: &impl Serialize) -> Option<String> {
    serde_json::to_string(value).ok()
}

/// Value of the row [`CURRENT`]: all documents at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// The operation that applied it.
    pub operation: String,
    /// The documents.
    pub set: Set,
}

/// One line of the history of revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Which revision.
    pub revision: Revision,
    /// Who applied it.
    pub author: String,
    /// By which operation.
    pub operation: String,
    /// The organisation whose documents changed.
    pub organisation: String,
    /// When, by the clock of the entry that took it, seconds since 1970. For people only: nothing
    /// is decided by it.
    pub unix_secs: u64,
    /// What changed in the organisation's documents, the first hundred lines of it.
    #[serde(default)]
    pub changes: Vec<Difference>,
}
