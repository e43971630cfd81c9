//! Recording a configuration change at most once.

use fleet::config::Revision;
use fleet::template::Document;
use fleet::template::Set;
use fleet::template::diff;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Row;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;

use super::Current;
use super::Entry;
use super::row;

/// Maximum number of differences kept in an entry of the history.
const MAX_DIFFERENCES: usize = 100;

/// State machine that writes one change to the table.
///
/// The change can take effect only as the revision that follows the one its author saw. The history
/// row of that revision therefore shows conclusively whether it did.
#[derive(Clone, Debug, PartialEq)]
pub struct Apply {
    entry: Entry,
    document: Document,
    step: Step,
}

/// Progress of a change.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Read the history row of the change's revision.
    ReadHistory,
    /// A later revision is in force: read the history row of the change's revision a last time.
    RereadHistory,
    /// The history row does not exist: read the current documents.
    ReadCurrent,
    /// Commit these documents on condition that the current row still has this version.
    Commit(Version, Set),
    /// The outcome is known.
    Decided(ApplyOutcome),
}

/// The next action that the caller of [`Apply`] must take.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Read the row with this key and pass it to [`Apply::record_read`].
    Read(String),
    /// Validate the documents, commit the transaction and pass the result to
    /// [`Apply::record_commit`]. If the result is unknown, call [`Apply::next`] again: the same
    /// transaction takes effect at most once.
    Commit(Set, Transaction),
    /// Nothing: the outcome is known.
    Done(ApplyOutcome),
}

/// The certain outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ApplyOutcome {
    /// The change is recorded as this revision.
    Recorded(Revision),
    /// Another change was recorded as that revision.
    Raced,
    /// The revision that the author saw is not in the table yet; nothing was recorded.
    BaseMissing,
    /// The history row of the change's revision has been removed because it is too old.
    Expired,
}

impl Apply {
    /// A change of the documents at the revision `seen`; `entry` has its author, operation and
    /// time.
    pub fn new(seen: Revision, document: Document, entry: Entry) -> Self {
        let organisation = document.organisation.clone();
        let entry = Entry { revision: seen.next(), organisation, ..entry };
        Self { entry, document, step: Step::ReadHistory }
    }

    /// The revision that the change gets if it is recorded.
    pub fn revision(&self) -> Revision {
        self.entry.revision
    }

    /// The next action of the caller.
    pub fn next(&self) -> Next {
        match &self.step {
            Step::ReadHistory | Step::RereadHistory => Next::Read(row::history(self.revision())),
            Step::ReadCurrent => Next::Read(row::CURRENT.to_owned()),
            Step::Commit(base, set) => Next::Commit(set.clone(), self.transaction(*base, set)),
            Step::Decided(decided) => Next::Done(*decided),
        }
    }

    /// Handles the result of [`Next::Read`].
    pub fn record_read(&mut self, found: Option<&Row>) {
        self.step = match self.step {
            Step::ReadHistory => self.read_history(found).unwrap_or(Step::ReadCurrent),
            Step::RereadHistory => {
                self.read_history(found).unwrap_or(Step::Decided(ApplyOutcome::Expired))
            }
            Step::ReadCurrent => self.read_current(found),
            Step::Commit(..) | Step::Decided(_) => return,
        };
    }

    /// Handles the result of [`Next::Commit`].
    pub fn record_commit(&mut self, commit: &Commit) {
        self.step = match commit {
            Commit::Done(_) => Step::Decided(ApplyOutcome::Recorded(self.revision())),
            Commit::Conflict(_) | Commit::Missing(_) => Step::ReadHistory,
        };
    }

    fn read_history(&self, found: Option<&Row>) -> Option<Step> {
        let entry: Option<Entry> = serde_json::from_str(&found?.value).ok();
        let is_own = entry.is_some_and(|entry| entry.operation == self.entry.operation);
        let decided =
            if is_own { ApplyOutcome::Recorded(self.revision()) } else { ApplyOutcome::Raced };
        Some(Step::Decided(decided))
    }

    fn read_current(&mut self, found: Option<&Row>) -> Step {
        let current = found.and_then(|row| serde_json::from_str::<Current>(&row.value).ok());
        let previous = current.map(|current| current.set).unwrap_or_default();
        let version = found.map_or(Version::ABSENT, |row| row.version);
        let next = previous.revision.next();
        if next < self.revision() {
            return Step::Decided(ApplyOutcome::BaseMissing);
        }
        if next > self.revision() {
            return Step::RereadHistory;
        }
        let old = previous.documents.get(&self.document.organisation);
        let mut changes = diff(&old, &Some(&self.document));
        changes.truncate(MAX_DIFFERENCES);
        self.entry.changes = changes;
        Step::Commit(version, previous.with(self.document.clone()))
    }

    fn transaction(&self, base: Version, set: &Set) -> Transaction {
        let operation = self.entry.operation.clone();
        let current = Current { operation: operation.clone(), set: set.clone() };
        let history = row::history(self.revision());
        Transaction {
            operation: Operation(operation),
            conditions: vec![
                Condition { key: row::CURRENT.to_owned(), version: base },
                Condition { key: history.clone(), version: Version::ABSENT },
            ],
            writes: vec![
                Write { key: row::CURRENT.to_owned(), value: row::write(&current) },
                Write { key: history, value: row::write(&self.entry) },
            ],
        }
    }
}
