//! Garbage collection: deletes rows that are no longer needed.

use std::time::Duration;

use fleet::config::Revision;
use fleet::time::Time;
use platform::Error;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Write;

use super::Engine;
use super::Environment;
use super::act;
use super::act::ActRow;
use crate::configuration::row::HISTORY;
use crate::configuration::row::history;
use crate::duty::Duty;
use crate::member;

/// Time between two collections.
const PERIOD: Duration = Duration::from_secs(60);

/// How long the row of an operator action is kept, in seconds. Until then, the action is
/// idempotent: a retry under the same operation name has no further effect.
const ACT_RETENTION_SECS: u64 = 24 * 3_600;

/// Configuration revisions kept in the history.
const MAX_REVISIONS: u64 = 10_000;

/// Rows per read.
const PAGE_SIZE: usize = 500;

/// Pages of action rows read in one collection.
const MAX_PAGES: usize = 8;

/// Rows deleted in one transaction.
const MAX_REMOVALS: usize = 100;

impl<E: Environment> Engine<E> {
    /// Deletes expired rows if this entry holds [`Duty::Garbage`] and a collection is due.
    pub async fn collect_garbage(&self, now: Time) {
        if !self.is_collection_due(now) {
            return;
        }
        let expired = self.find_expired(now).await;
        let removed = match expired {
            Ok(rows) => self.remove(&rows, now).await,
            Err(error) => {
                tracing::warn!(event = "tidy-failed", error = %error);
                return;
            }
        };
        tracing::info!(event = "tidy", removed);
        self.state().last_collection = Some(now);
    }

    fn is_collection_due(&self, now: Time) -> bool {
        let state = self.state();
        let holds = state.held(&Duty::Garbage).is_some() && state.may_decide(now);
        holds && state.last_collection.is_none_or(|last| now.since(last) >= PERIOD)
    }

    /// Rows of old operator actions, old configuration revisions and ended entries.
    async fn find_expired(&self, now: Time) -> Result<Vec<Row>, Error> {
        let mut expired = self.expired_actions(now).await?;
        expired.extend(self.expired_revisions().await?);
        let members = self.core.table.scan(member::PREFIX, "", PAGE_SIZE).await?;
        let ended = |row: &Row| {
            serde_json::from_str(&row.value).is_ok_and(|member: member::Row| member.ended)
        };
        expired.extend(members.into_iter().filter(ended));
        Ok(expired)
    }

    async fn expired_actions(&self, now: Time) -> Result<Vec<Row>, Error> {
        let oldest = act::unix_secs(self.row_time(now)).saturating_sub(ACT_RETENTION_SECS);
        let is_expired = |row: &Row| {
            serde_json::from_str(&row.value).is_ok_and(|action: ActRow| action.unix_secs < oldest)
        };
        let mut expired = Vec::new();
        let mut after = String::new();
        for _ in 0..MAX_PAGES {
            let rows = self.core.table.scan(act::PREFIX, &after, PAGE_SIZE).await?;
            let Some(last) = rows.last() else { break };
            after.clone_from(&last.key);
            expired.extend(rows.into_iter().filter(is_expired));
        }
        Ok(expired)
    }

    async fn expired_revisions(&self) -> Result<Vec<Row>, Error> {
        let oldest = Revision(self.state().revision().0.saturating_sub(MAX_REVISIONS));
        let rows = self.core.table.scan(HISTORY, "", PAGE_SIZE).await?;
        Ok(rows.into_iter().filter(|row| row.key < history(oldest)).collect())
    }

    /// Deletes rows, unless they have changed since they were read. Returns the number deleted;
    /// stops at the first transaction that fails.
    async fn remove(&self, rows: &[Row], now: Time) -> usize {
        let mut removed = 0;
        for batch in rows.chunks(MAX_REMOVALS) {
            let Some(transaction) = self.removal(batch) else { break };
            if self.commit(&transaction, now).await != super::Outcome::Done {
                break;
            }
            removed += batch.len();
        }
        removed
    }

    /// The transaction that deletes `rows`, conditional on their versions and on the lease of
    /// [`Duty::Garbage`].
    fn removal(&self, rows: &[Row]) -> Option<Transaction> {
        let mut state = self.state();
        let version = state.held(&Duty::Garbage)?.version;
        let mut conditions = vec![Condition { key: Duty::Garbage.key(), version }];
        let as_read = |row: &Row| Condition { key: row.key.clone(), version: row.version };
        conditions.extend(rows.iter().map(as_read));
        let writes = rows.iter().map(|row| Write { key: row.key.clone(), value: None });
        let operation = Operation(state.next_operation(&self.settings().name));
        Some(Transaction { operation, conditions, writes: writes.collect() })
    }
}
