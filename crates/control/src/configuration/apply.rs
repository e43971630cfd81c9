//! How a change is recorded: once, or not at all.

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

/// Differences that an entry of the history keeps.
const MAX_DIFFERENCES: usize = 100;

/// A change on its way into the table.
///
/// It can take effect only as the revision after the one that its author saw, so that the history's
/// row of that revision tells for good whether it did.
#[derive(Clone, Debug, PartialEq)]
pub struct Apply {
    entry: Entry,
    document: Document,
    step: Step,
}

/// Where a change stands.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// The row of its revision is to be read.
    Look,
    /// Later revisions are in force: the row of its own is to be read for the last time.
    LastLook,
    /// The row of its revision is not there: the documents that it was made from are to be read.
    Base,
    /// These documents are to be committed, conditional on the version of those before.
    Commit(Version, Set),
    /// It is decided.
    Decided(ApplyOutcome),
}

/// What to do next about a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Read the row with this key and [tell](Apply::record_read) what it is.
    Read(String),
    /// Check the documents, commit and [tell](Apply::record_commit) how it ended. If that cannot be
    /// known, ask again: the same transaction can take effect only once.
    Commit(Set, Transaction),
    /// It is decided.
    Done(ApplyOutcome),
}

/// How a change ended, for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ApplyOutcome {
    /// It is recorded as this revision.
    Recorded(Revision),
    /// Another change became the revision that it wanted to be.
    Raced,
    /// The revision that its author saw is not there yet; nothing was recorded.
    BaseMissing,
    /// The revision that it wanted to be is so long ago that its row is no longer kept.
    Expired,
}

impl Apply {
    /// A change of the documents at the revision `seen`; `entry` says who makes it and when.
    pub fn new(seen: Revision, document: Document, entry: Entry) -> Self {
        let organisation = document.organisation.clone();
        let entry = Entry { revision: seen.next(), organisation, ..entry };
        Self { entry, document, step: Step::Look }
    }

    /// The revision that it wants to be.
    pub fn revision(&self) -> Revision {
        self.entry.revision
    }

    /// What to do next.
    pub fn next(&self) -> Next {
        match &self.step {
            Step::Look | Step::LastLook => Next::Read(row::history(self.revision())),
            Step::Base => Next::Read(row::CURRENT.to_owned()),
            Step::Commit(base, set) => Next::Commit(set.clone(), self.transaction(*base, set)),
            Step::Decided(decided) => Next::Done(*decided),
        }
    }

    /// Tells what was read for [`Next::Read`].
    pub fn record_read(&mut self, found: Option<&Row>) {
        self.step = match self.step {
            Step::Look => self.read_history(found).unwrap_or(Step::Base),
            Step::LastLook => {
                self.read_history(found).unwrap_or(Step::Decided(ApplyOutcome::Expired))
            }
            Step::Base => self.read_current(found),
            Step::Commit(..) | Step::Decided(_) => return,
        };
    }

    /// Tells how [`Next::Commit`] ended.
    pub fn record_commit(&mut self, commit: &Commit) {
        self.step = match commit {
            Commit::Done(_) => Step::Decided(ApplyOutcome::Recorded(self.revision())),
            Commit::Conflict(_) | Commit::Missing(_) => Step::Look,
        };
    }

    fn read_history(&self, found: Option<&Row>) -> Option<Step> {
        let entry: Option<Entry> = serde_json::from_str(&found?.value).ok();
        let mine = entry.is_some_and(|entry| entry.operation == self.entry.operation);
        let decided =
            if mine { ApplyOutcome::Recorded(self.revision()) } else { ApplyOutcome::Raced };
        Some(Step::Decided(decided))
    }

    fn read_current(&mut self, found: Option<&Row>) -> Step {
        let current = found.and_then(|row| serde_json::from_str::<Current>(&row.value).ok());
        let before = current.map(|current| current.set).unwrap_or_default();
        let version = found.map_or(Version::ABSENT, |row| row.version);
        let follows = before.revision.next();
        if follows < self.revision() {
            return Step::Decided(ApplyOutcome::BaseMissing);
        }
        if follows > self.revision() {
            return Step::LastLook;
        }
        let old = before.documents.get(&self.document.organisation);
        let mut changes = diff(&old, &Some(&self.document));
        changes.truncate(MAX_DIFFERENCES);
        self.entry.changes = changes;
        Step::Commit(version, before.with(self.document.clone()))
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
