//! Writes snapshots of the table, and restores the state from one at start.

use std::time::Duration;

use fleet::time::Time;
use platform::Error;
use platform::snapshot;
use platform::snapshot::Written;
use platform::table::Position;

use super::Engine;
use super::Environment;
use crate::duty::Duty;

/// Time between two snapshots.
const PERIOD: Duration = Duration::from_secs(60);

/// Snapshots kept in the object store; older ones are deleted.
const MAX_SNAPSHOTS: usize = 3;

impl<E: Environment> Engine<E> {
    /// Applies all rows, read from the newest valid snapshot and the changes since, or else from a
    /// scan of the table.
    pub(super) async fn restore(&self, now: Time) -> Result<(), Error> {
        let min_position = Position::default();
        let restored =
            snapshot::restore(&self.core.table, &self.core.objects, min_position).await?;
        for (name, refusal) in &restored.refused {
            tracing::warn!(event = "snapshot-refused", name, reason = %refusal);
        }
        let mut state = self.state();
        for row in restored.image.rows() {
            state.apply(row, now);
        }
        state.versions.advance(restored.image.position());
        let (rows, source) = (restored.image.len(), restored.source);
        tracing::info!(event = "restore", rows, ?source, reads = restored.reads);
        Ok(())
    }

    /// Writes a snapshot if this entry holds [`Duty::Snapshots`] and a snapshot is due.
    ///
    /// It is built from the previous snapshot and the changes since, so that no process has to keep
    /// the values of all rows. Concurrent writers are harmless: all snapshots of one position have
    /// the same content.
    pub async fn snapshot(&self, now: Time) {
        if !self.is_snapshot_due(now) {
            return;
        }
        let written = self.write_snapshot().await;
        tracing::info!(event = "snapshot", ?written);
        if written.is_ok() {
            self.state().last_snapshot = Some(now);
        }
    }

    async fn write_snapshot(&self) -> Result<Written, Error> {
        let min_position = self.state().versions.position().unwrap_or_default();
        let restored =
            snapshot::restore(&self.core.table, &self.core.objects, min_position).await?;
        snapshot::write(&self.core.objects, &restored.image, MAX_SNAPSHOTS).await
    }

    fn is_snapshot_due(&self, now: Time) -> bool {
        let state = self.state();
        let holds = state.held(&Duty::Snapshots).is_some() && state.may_decide(now);
        holds && state.last_snapshot.is_none_or(|last| now.since(last) >= PERIOD)
    }
}
