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
use super::Difference;
use super::Entry;
use super::row;

/// A change on its way into the table.
///
/// It can take effect only as the revision after the one that its author saw, so that the history's
/// row of that revision tells for good whether it did.
#[derive(Clone, Debug, PartialEq)]
pub struct Apply {
    /// What is to be recorded.
    set: Set,
    entry: Entry,
    document: Document,
    step: Step,
}

/// Where a change stands.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// The row of its revision is to be read.
    Look,
    /// The row of its revision is not there: the documents that it was made from are to be read.
    Base,
    /// Later revisions are in force: the row of its own is to be read for the last time.
    LastLook,
    /// It is to be committed, conditional on this version of the documents' row.
    Commit(Version),
    /// It is decided.
    Decided(Decided),
}

/// What to do next about a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Read the row with this key and [tell](Apply::read) what it is.
    Read(String),
    /// Commit and [tell](Apply::committed) how it ended; if that cannot be known, ask again.
    Commit(Transaction),
    /// It is decided.
    Done(Decided),
}

/// How a change ended, for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decided {
    /// It is recorded as this revision.
    Recorded(Revision),
    /// Another change became the revision that it wanted to be.
    Raced,
    /// The revision that its author saw is not there yet; nothing was recorded.
    Ahead,
    /// The revision that it wanted to be is so long ago that its row is no longer kept.
    Forgotten,
}

impl Apply {
    /// A change of `set` at the revision that its author saw.
    pub fn new(seen: &Set, document: Document, entry: Entry) -> Self {
        let set = seen.with(document.clone());
        let revision = set.revision;
        let organisation = document.organisation.clone();
        let entry = Entry { revision, organisation, ..entry };
        Self { set, entry, document, step: Step::Look }
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
            Step::Commit(base) => Next::Commit(self.transaction(*base)),
            Step::Decided(decided) => Next::Done(*decided),
        }
    }

    /// Tells what was read for [`Next::Read`].
    pub fn read(&mut self, found: Option<&Row>) {
        self.step = match self.step {
            Step::Look => self.read_history(found).unwrap_or(Step::Base),
            Step::LastLook => self.read_history(found).unwrap_or(Step::Decided(Decided::Forgotten)),
            Step::Base => self.read_current(found),
            _ => return,
        };
    }

    /// Tells how [`Next::Commit`] ended. Not called if that is unknown: the same transaction may be
    /// asked for again, since only one of the two can take effect.
    pub fn committed(&mut self, commit: &Commit) {
        self.step = match commit {
            Commit::Done(_) => Step::Decided(Decided::Recorded(self.revision())),
            Commit::Conflict(_) | Commit::Missing(_) => Step::Look,
        };
    }

    /// Starts over from reading, as after an unknown end.
    pub fn look_again(&mut self) {
        if !matches!(self.step, Step::Decided(_)) {
            self.step = Step::Look;
        }
    }

    fn read_history(&self, found: Option<&Row>) -> Option<Step> {
        let entry: Option<Entry> = serde_json::from_str(&found?.value).ok();
        let mine = entry.is_some_and(|entry| entry.operation == self.entry.operation);
        let decided = if mine { Decided::Recorded(self.revision()) } else { Decided::Raced };
        Some(Step::Decided(decided))
    }

    fn read_current(&self, found: Option<&Row>) -> Step {
        let current = found.and_then(|row| serde_json::from_str::<Current>(&row.value).ok());
        let in_force = current.map_or(Revision::default(), |current| current.set.revision);
        let version = found.map_or(Version::ABSENT, |row| row.version);
        if in_force.next() < self.revision() {
            return Step::Decided(Decided::Ahead);
        }
        if in_force.next() > self.revision() {
            return Step::LastLook;
        }
        Step::Commit(version)
    }

    fn transaction(&self, base: Version) -> Transaction {
        let operation = Operation(self.entry.operation.clone());
        let current = Current { operation: self.entry.operation.clone(), set: self.set.clone() };
        let history = row::history(self.revision());
        Transaction {
            operation,
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

    /// What its author is shown if someone else was first.
    pub fn difference(&self, seen: &Set, current: &Set, entries: Vec<Entry>) -> Difference {
        let organisation = &self.document.organisation;
        let known = seen.revision == Revision(self.revision().0 - 1);
        let before = seen.documents.get(organisation);
        let after = current.documents.get(organisation);
        Difference {
            seen: Revision(self.revision().0 - 1),
            current: current.revision,
            entries,
            documents: if known { diff(&before, &after) } else { Vec::new() },
        }
    }
}
