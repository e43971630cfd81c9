//! Applies the table's changes.

use std::collections::BTreeSet;

use fleet::time::Time;
use platform::Error;
use platform::table::Changes;
use platform::table::Position;
use platform::table::Table;
use platform::table::Version;

use super::Engine;
use super::Environment;
use super::State;

/// Changes or rows per read.
const PAGE_SIZE: usize = 500;

impl<E: Environment> Engine<E> {
    /// Reads and applies one page of changes. Returns whether there may be more.
    ///
    /// `now` is the monotonic time before the read, so that the data is at least as recent as `now`.
    /// Fails if the table cannot be read.
    pub async fn follow(&self, now: Time) -> Result<bool, Error> {
        let Some(position) = self.position() else {
            self.restore(now).await?;
            return Ok(true);
        };
        let changes = self.core.table.changes("", position, PAGE_SIZE).await?;
        if changes.truncated {
            return self.scan(changes.position, now).await.map(|()| true);
        }
        let more = changes.changes.len() >= PAGE_SIZE;
        let mut state = self.state();
        state.apply_changes(&changes, now);
        if !more {
            state.restored = true;
            state.watch.record_read(now);
        }
        state.last_answer = Some(now);
        Ok(more)
    }

    fn position(&self) -> Option<Position> {
        self.state().versions.position()
    }

    /// Reads and applies all rows, as of `position` or later. Needed when the table no longer keeps
    /// the changes that follow the known position.
    async fn scan(&self, position: Position, now: Time) -> Result<(), Error> {
        let mut seen = BTreeSet::new();
        let mut after = String::new();
        loop {
            let rows = self.core.table.scan("", &after, PAGE_SIZE).await?;
            let Some(last) = rows.last() else { break };
            after.clone_from(&last.key);
            let mut state = self.state();
            for row in &rows {
                seen.insert(row.key.clone());
                state.apply(row, now);
            }
        }
        tracing::info!(event = "scan", rows = seen.len(), position = position.0);
        let mut state = self.state();
        for key in state.versions.missing_from(&seen) {
            state.apply_absent(&key, position, now);
        }
        state.versions.advance(position);
        Ok(())
    }
}

impl State {
    /// Applies a page of changes.
    pub fn apply_changes(&mut self, changes: &Changes, now: Time) {
        for change in &changes.changes {
            match &change.row {
                Some(row) => self.apply(row, now),
                None => self.apply_deleted(&change.key, Version(change.position.0), now),
            }
        }
        self.versions.advance(changes.position);
    }

    /// Applies the deletion of a known row that a scan as of `position` did not return, unless the
    /// row is newer than the scan.
    fn apply_absent(&mut self, key: &str, position: Position, now: Time) {
        if self.versions.version(key).0 <= position.0 {
            self.apply_deleted(key, Version(position.0.max(1)), now);
        }
    }

    /// Applies the deletion of a known row that a commit found missing.
    pub fn apply_missing(&mut self, key: &str, now: Time) {
        let after = Version(self.versions.version(key).0 + 1);
        self.apply_deleted(key, after, now);
    }
}
