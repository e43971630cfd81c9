//! A table whose keys lie under a prefix of another.

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

/// Where all rows of the control loops lie.
pub(super) const PREFIX: &str = "control/";

/// The rows under [`PREFIX`], with keys that leave it out.
#[derive(Clone, Debug)]
pub struct Scoped<T>(pub T);

impl<T: Table> Table for Scoped<T> {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        Ok(self.0.get(&inner(key)).await?.map(outer_row))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let after = if after.is_empty() { String::new() } else { inner(after) };
        let rows = self.0.scan(&inner(prefix), &after, limit).await?;
        Ok(rows.into_iter().map(outer_row).collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let commit = self.0.commit(&inner_transaction(transaction)).await?;
        Ok(match commit {
            Commit::Done(position) => Commit::Done(position),
            Commit::Conflict(row) => Commit::Conflict(outer_row(row)),
            Commit::Missing(key) => Commit::Missing(outer(key)),
        })
    }

    async fn changes(
        &self,
        prefix: &str,
        position: Position,
        limit: usize,
    ) -> Result<Changes, Error> {
        let changes = self.0.changes(&inner(prefix), position, limit).await?;
        Ok(Changes { changes: changes.changes.into_iter().map(outer_change).collect(), ..changes })
    }
}

fn inner(key: &str) -> String {
    format!("{PREFIX}{key}")
}

fn outer(key: String) -> String {
    key.strip_prefix(PREFIX).map(str::to_owned).unwrap_or(key)
}

fn outer_row(row: Row) -> Row {
    Row { key: outer(row.key), ..row }
}

fn outer_change(change: Change) -> Change {
    Change { key: outer(change.key), row: change.row.map(outer_row), ..change }
}

fn inner_transaction(transaction: &Transaction) -> Transaction {
    let condition =
        |condition: &Condition| Condition { key: inner(&condition.key), ..condition.clone() };
    let write = |write: &Write| Write { key: inner(&write.key), ..write.clone() };
    Transaction {
        operation: transaction.operation.clone(),
        conditions: transaction.conditions.iter().map(condition).collect(),
        writes: transaction.writes.iter().map(write).collect(),
    }
}
