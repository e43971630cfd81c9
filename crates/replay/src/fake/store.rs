//! The table service: rows with versions, conditional writes, and a log of what was committed.

use std::collections::BTreeMap;

use fleet::row;
use fleet::time::Time;

/// What became of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect.
    Done,
    /// One of its rows has changed since it was read.
    Conflict,
    /// The service answers nothing.
    Down,
}

/// One committed row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logged {
    /// When it was committed.
    pub at: Time,
    /// Its version.
    pub version: u64,
    /// The row.
    pub entry: row::Update,
}

/// The table service.
#[derive(Clone, Debug, Default)]
pub struct Store {
    versions: BTreeMap<String, u64>,
    log: Vec<Logged>,
    down_until: Time,
}

impl Store {
    /// Answers nothing until then.
    pub fn go_down(&mut self, until: Time) {
        self.down_until = self.down_until.max(until);
    }

    /// Whether it answers.
    pub fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    /// Everything committed after `position`.
    pub fn since(&self, position: usize) -> &[Logged] {
        self.log.get(position..).unwrap_or_default()
    }

    /// Writes `entries` if each row still has the version that `seen` has for it.
    pub fn commit(
        &mut self,
        entries: &[row::Update],
        seen: &BTreeMap<String, u64>,
        now: Time,
    ) -> Commit {
        if !self.is_up(now) {
            return Commit::Down;
        }
        let current = |key: &str| self.versions.get(key).copied().unwrap_or(0);
        let known = |key: &str| seen.get(key).copied().unwrap_or(0);
        if entries.iter().any(|entry| current(&entry.key) != known(&entry.key)) {
            return Commit::Conflict;
        }
        for entry in entries {
            let version = self.versions.entry(entry.key.clone()).or_insert(0);
            *version += 1;
            self.log.push(Logged { at: now, version: *version, entry: entry.clone() });
        }
        Commit::Done
    }
}
