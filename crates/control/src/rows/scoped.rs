//! A table whose rows are stored under a key prefix of another table.

use platform::Error;
use platform::table::Change;
use platform::table::Changes;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Write;

/// Key prefix of all rows of the control loops.
pub(super) const PREFIX: &str = "control/";

/// The rows of a table under [`PREFIX`], with keys relative to it.
#[derive(Clone, Debug)]
pub struct Scoped<T>(pub T);

impl<T: Table> Table for Scoped<T> {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        Ok(self.0.get(&full_key(key)).await?.map(relative_row))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let after = if after.is_empty() { String::new() } else { full_key(after) };
        let rows = self.0.scan(&full_key(prefix), &after, limit).await?;
        Ok(rows.into_iter().map(relative_row).collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let commit = self.0.commit(&full_transaction(transaction)).await?;
        Ok(match commit {
            Commit::Done(position) => Commit::Done(position),
            Commit::Conflict(row) => Commit::Conflict(relative_row(row)),
            Commit::Missing(key) => Commit::Missing(relative_key(key)),
        })
    }

    async fn changes(
        &self,
        prefix: &str,
        position: Position,
        limit: usize,
    ) -> Result<Changes, Error> {
        let changes = self.0.changes(&full_key(prefix), position, limit).await?;
        Ok(Changes {
            changes: changes.changes.into_iter().map(relative_change).collect(),
            ..changes
        })
    }
}

fn full_key(key: &str) -> String {
    format!("{PREFIX}{key}")
}

fn relative_key(key: String) -> String {
    key.strip_prefix(PREFIX).map(str::to_owned).unwrap_or(key)
}

fn relative_row(row: Row) -> Row {
    Row { key: relative_key(row.key), ..row }
}

fn relative_change(change: Change) -> Change {
    Change { key: relative_key(change.key), row: change.row.map(relative_row), ..change }
}

fn full_transaction(transaction: &Transaction) -> Transaction {
    let condition =
        |condition: &Condition| Condition { key: full_key(&condition.key), ..condition.clone() };
    let write = |write: &Write| Write { key: full_key(&write.key), ..write.clone() };
    Transaction {
        operation: transaction.operation.clone(),
        conditions: transaction.conditions.iter().map(condition).collect(),
        writes: transaction.writes.iter().map(write).collect(),
    }
}
