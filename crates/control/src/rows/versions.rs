//! Which version of each row this process has taken in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use platform::table::Position;
use platform::table::Version;

/// The versions of the rows that this process has taken in. None ever goes back, whatever a store
/// with an old state answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    versions: BTreeMap<String, Version>,
    /// Rows that were deleted, at the position of that.
    deleted: BTreeMap<String, Version>,
    /// The same in the order in which they were learnt of.
    deletions: VecDeque<(String, Version)>,
    position: Option<Position>,
}

/// Deleted rows that are remembered, so that an old state does not bring them back.
const MAX_DELETED: usize = 4_096;

impl Versions {
    /// Notes a row's version. Returns whether it is newer than what was known.
    pub fn record(&mut self, key: &str, version: Version) -> bool {
        if version <= self.latest(key) {
            return false;
        }
        self.deleted.remove(key);
        self.versions.insert(key.to_owned(), version);
        true
    }

    /// Notes that a row was deleted by the commit at `version`. Returns whether that is news.
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

    /// The version that a write of the row must find.
    pub fn version(&self, key: &str) -> Version {
        self.versions.get(key).copied().unwrap_or(Version::ABSENT)
    }

    /// Keys of known rows that are not in `seen`.
    pub fn missing_from(&self, seen: &BTreeSet<String>) -> Vec<String> {
        self.versions.keys().filter(|key| !seen.contains(*key)).cloned().collect()
    }

    /// How many rows are known.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no row is known.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Up to where the changes have been read; nothing before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Notes up to where the changes have been read.
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
