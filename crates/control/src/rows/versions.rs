//! The versions of the rows that this process has applied.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use platform::table::Position;
use platform::table::Version;

/// The versions of the rows that this process has applied. A version never decreases, even if the
/// store answers with stale data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    versions: BTreeMap<String, Version>,
    /// Deleted rows, with the version of the commit that deleted them.
    deleted: BTreeMap<String, Version>,
    /// The deletions in the order in which they were recorded.
    deletions: VecDeque<(String, Version)>,
    position: Option<Position>,
}

/// Maximum number of deleted rows that are remembered, so that stale data does not restore them.
const MAX_DELETED: usize = 4_096;

impl Versions {
    /// Records a row's version. Returns whether it is newer than the known one.
    pub fn record(&mut self, key: &str, version: Version) -> bool {
        if version <= self.latest(key) {
            return false;
        }
        self.deleted.remove(key);
        self.versions.insert(key.to_owned(), version);
        true
    }

    /// Records that a row was deleted by the commit at `version`. Returns whether the row was known
    /// and the deletion is newer.
    pub fn record_deleted(&mut self, key: &str, version: Version) -> bool {
        if version <= self.latest(key) {
            return false;
        }
        let known = self.versions.remove(key).is_some();
        self.deleted.insert(key.to_owned(), version);
        self.deletions.push_back((key.to_owned(), version));
        self.forget_oldest();
        known
    }

    /// The known version of a row: the condition of a write of it. [`Version::ABSENT`] if unknown.
    pub fn version(&self, key: &str) -> Version {
        self.versions.get(key).copied().unwrap_or(Version::ABSENT)
    }

    /// Keys of the known rows that are not in `seen`.
    pub fn missing_from(&self, seen: &BTreeSet<String>) -> Vec<String> {
        self.versions.keys().filter(|key| !seen.contains(*key)).cloned().collect()
    }

    /// Number of known rows.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no row is known.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Position up to which the changes have been read; `None` before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Records the position up to which the changes have been read.
    pub fn advance(&mut self, position: Position) {
        self.position = self.position.max(Some(position));
    }

    fn latest(&self, key: &str) -> Version {
        let deleted = self.deleted.get(key).copied().unwrap_or(Version::ABSENT);
        self.version(key).max(deleted)
    }

    fn forget_oldest(&mut self) {
        if self.deletions.len() <= MAX_DELETED {
            return;
        }
        let Some((key, version)) = self.deletions.pop_front() else { return };
        if self.deleted.get(&key) == Some(&version) {
            self.deleted.remove(&key);
        }
    }
}
