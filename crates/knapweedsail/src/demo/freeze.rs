//! Pauses an entry's threads, as a process that does not run for a while.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform::Error;
use platform::table::Changes;
use platform::table::Commit;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;

/// Until when an entry does not run.
#[derive(Clone, Debug, Default)]
pub(super) struct Freeze(Arc<Mutex<Option<Instant>>>);

impl Freeze {
    /// Pauses the threads that come by [`Self::wait`] from now on.
    pub(super) fn begin(&self, length: Duration) {
        *self.0.lock().expect("no holder panics") = Some(control::clock::instant() + length);
    }

    /// Blocks the thread for as long as the pause lasts.
    pub(super) fn wait(&self) {
        let until = *self.0.lock().expect("no holder panics");
        let Some(until) = until else { return };
        let left = until.saturating_duration_since(control::clock::instant());
        thread::sleep(left);
    }
}

/// A table that pauses the thread that uses it.
#[derive(Clone, Debug)]
pub(super) struct Frozen<T> {
    pub(super) table: T,
    pub(super) freeze: Freeze,
}

impl<T: Table> Table for Frozen<T> {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.freeze.wait();
        self.table.get(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        self.freeze.wait();
        self.table.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        self.freeze.wait();
        self.table.commit(transaction).await
    }

    async fn changes(
        &self,
        prefix: &str,
        position: Position,
        limit: usize,
    ) -> Result<Changes, Error> {
        self.freeze.wait();
        self.table.changes(prefix, position, limit).await
    }
}
