//! Commits whose replies were lost: repeated under the same conditions until their end is certain.
//!
//! docs/design/settle.md has the reasons. In short: a transaction that writes a row which it also
//! has a condition on makes its own condition false, so any number of copies take effect at most
//! once. Repeating it therefore either takes effect now, or is refused for good. A refusal is told
//! apart into "an earlier copy did it" and "another did" by the operation that the rows bear.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;

use crate::Error;
use crate::backoff::Backoff;
use crate::table::Commit;
use crate::table::Condition;
use crate::table::Operation;
use crate::table::Position;
use crate::table::Row;
use crate::table::Table;
use crate::table::Transaction;
use crate::table::Version;
use crate::wait::Wait;

/// How long a deleted key must stay unused before it is created again: no copy of a creation
/// that was sent before may still be under way. Mark the row as gone first, delete it this much
/// later.
pub const LONGEST_FLIGHT: Duration = Duration::from_secs(60);

/// Attempts after which the effect stays unknown.
const ATTEMPTS: u32 = 5;
/// Changes read at once when looking for an operation.
const CHANGES_PAGE: usize = 500;
/// Pages read at most.
const CHANGES_PAGES: usize = 8;

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It took effect, once, at this position.
    Done(Position),
    /// It did not take effect and never will: this row differs.
    Conflict(Row),
    /// It did not take effect and never will: this row is not there.
    Missing(String),
    /// It never will take effect from now on, but its rows were written again since and the changes
    /// no longer reach back to tell whether it did before.
    Ambiguous,
}

/// Why a transaction cannot be settled: see [`check`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Unguarded {
    /// It names no operation.
    #[display("no operation is named")]
    Nameless,
    /// No written row has a condition, so a late copy could take effect again.
    #[display("no row is both written and under a condition")]
    Unconditional,
}

/// Whether any number of copies of `transaction` take effect at most once.
pub fn check(transaction: &Transaction) -> Result<(), Unguarded> {
    if transaction.operation == Operation::default() {
        return Err(Unguarded::Nameless);
    }
    if guards(transaction).next().is_none() {
        return Err(Unguarded::Unconditional);
    }
    Ok(())
}

/// Conditions on rows that are written a value, which then bears the operation.
fn guards(transaction: &Transaction) -> impl Iterator<Item = &Condition> {
    let kept = |condition: &&Condition| {
        let mut writes = transaction.writes.iter();
        writes.any(|write| write.key == condition.key && write.value.is_some())
    };
    transaction.conditions.iter().filter(kept)
}

/// Commits `transaction` and settles lost replies.
///
/// On [`Error::Unavailable`] it certainly had no effect and never will. On [`Error::Unknown`] the
/// platform was not there for long enough; settle the same transaction again later.
pub async fn commit<T: Table, W: Wait>(
    table: &T,
    transaction: &Transaction,
    wait: &W,
    random: &mut (impl Rng + Send),
) -> Result<Settled, Error> {
    check(transaction).map_err(|reason| Error::Malformed(reason.to_string()))?;
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(2));
    let mut sent = false;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            wait.wait(backoff.next(random)).await;
        }
        match table.commit(transaction).await {
            Ok(Commit::Done(position)) => return Ok(Settled::Done(position)),
            Ok(refusal) if !sent => return Ok(refused(refusal)),
            Ok(refusal) => match explain(table, transaction, refusal).await {
                Ok(settled) => return Ok(settled),
                Err(_) => continue,
            },
            Err(Error::Unknown(_)) => sent = true,
            Err(error) if !sent => return Err(error),
            Err(_) => {}
        }
    }
    Err(Error::Unknown(format!("{} after {ATTEMPTS} attempts", transaction.operation)))
}

fn refused(refusal: Commit) -> Settled {
    match refusal {
        Commit::Done(position) => Settled::Done(position),
        Commit::Conflict(row) => Settled::Conflict(row),
        Commit::Missing(key) => Settled::Missing(key),
    }
}

/// Tells whether an earlier copy took effect, now that a later one was refused for good.
async fn explain<T: Table>(
    table: &T,
    transaction: &Transaction,
    refusal: Commit,
) -> Result<Settled, Error> {
    if let Commit::Conflict(row) = &refusal
        && row.operation == transaction.operation
    {
        return Ok(Settled::Done(Position(row.version.0)));
    }
    for guard in guards(transaction) {
        let touched = match look(table, transaction, guard, &refusal).await? {
            Guard::Untouched => return Ok(refused(refusal)),
            Guard::Ours(position) => return Ok(Settled::Done(position)),
            Guard::Touched(touched) => touched,
        };
        match search(table, transaction, guard, touched).await? {
            Found::Yes(position) => return Ok(Settled::Done(position)),
            Found::No => return Ok(refused(refusal)),
            Found::Truncated => {}
        }
    }
    Ok(Settled::Ambiguous)
}

/// What became of a guard since the first copy was sent.
enum Guard {
    /// It is as the condition has it: no copy took effect.
    Untouched,
    /// Our operation wrote it last.
    Ours(Position),
    /// Another wrote or deleted it since.
    Touched(Touched),
}

/// How another touched a guard last.
#[derive(Clone, Copy)]
enum Touched {
    Wrote(Version),
    Deleted,
}

/// Reads a guard through a commit that writes nothing: unlike a plain read, that is never stale.
async fn look<T: Table>(
    table: &T,
    transaction: &Transaction,
    guard: &Condition,
    refusal: &Commit,
) -> Result<Guard, Error> {
    let question = Transaction {
        operation: Operation(format!("{}?", transaction.operation)),
        conditions: vec![guard.clone()],
        writes: Vec::new(),
    };
    Ok(match table.commit(&question).await? {
        Commit::Done(_) if is_about(refusal, &guard.key) => Guard::Touched(Touched::Deleted),
        Commit::Done(_) => Guard::Untouched,
        Commit::Conflict(row) if row.operation == transaction.operation => {
            Guard::Ours(Position(row.version.0))
        }
        Commit::Conflict(row) => Guard::Touched(Touched::Wrote(row.version)),
        Commit::Missing(_) => Guard::Touched(Touched::Deleted),
    })
}

fn is_about(refusal: &Commit, key: &str) -> bool {
    match refusal {
        Commit::Done(_) => false,
        Commit::Conflict(row) => row.key == key,
        Commit::Missing(missing) => missing == key,
    }
}

/// Whether the changes of a row name our operation.
enum Found {
    Yes(Position),
    No,
    Truncated,
}

/// Looks for our operation in the changes of a guard's row since before the first copy was sent:
/// all versions in the conditions are from before that.
async fn search<T: Table>(
    table: &T,
    transaction: &Transaction,
    guard: &Condition,
    touched: Touched,
) -> Result<Found, Error> {
    let versions = transaction.conditions.iter().map(|condition| condition.version.0);
    let mut position = Position(versions.max().unwrap_or_default());
    let mut reached = false;
    for _ in 0..CHANGES_PAGES {
        let changes = table.changes(&guard.key, position, CHANGES_PAGE).await?;
        if changes.truncated {
            return Ok(Found::Truncated);
        }
        for change in changes.changes.iter().filter(|change| change.key == guard.key) {
            let operation = change.row.as_ref().map(|row| &row.operation);
            if operation == Some(&transaction.operation) {
                return Ok(Found::Yes(change.position));
            }
            reached = match touched {
                Touched::Wrote(version) => reached || version.0 <= change.position.0,
                Touched::Deleted => change.row.is_none(),
            };
        }
        if changes.position <= position {
            break;
        }
        position = changes.position;
    }
    if reached {
        return Ok(Found::No);
    }
    Err(Error::Unavailable("the changes do not reach the row's present state yet".to_owned()))
}
