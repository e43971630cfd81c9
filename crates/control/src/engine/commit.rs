//! Builds transactions, commits them and applies their results.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use fleet::decision;
use fleet::decision::Decision;
use fleet::decision::Refusal;
use fleet::row;
use fleet::row::Update;
use fleet::time::Time;
use platform::Error;
use platform::table::Commit;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Position;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;
use platform::table::Write;

use super::Engine;
use super::Environment;
use super::State;
use super::decide::MAX_BATCH;
use super::decide::Proposal;
use crate::duty::Duty;

/// The outcome of committing decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// Committed, and applied to this entry's state.
    #[default]
    Done,
    /// The present state does not allow the decision.
    Refused(Refusal),
    /// Not committed: a row had changed. The new row has been applied, and the decision must be
    /// made again from it.
    Raced,
    /// This entry does not hold the duty.
    NotHeld,
    /// Not committed: the table cannot be reached.
    Unavailable(String),
    /// The reply was lost. If it was committed, the table's changes will contain it.
    Unknown(String),
}

impl<E: Environment> Engine<E> {
    /// Commits a decision under a duty, conditional on this entry's lease on the duty and on the
    /// known version of every row that it changes.
    pub async fn execute(&self, duty: &Duty, decision: &Decision, now: Time) -> Outcome {
        let transaction = {
            let mut state = self.state();
            let Some(lease) = state.held(duty) else { return Outcome::NotHeld };
            let guard = Condition { key: duty.key(), version: lease.version };
            match effect(&state, decision, self.row_time(now)) {
                Ok(updates) => {
                    let operation = state.next_operation(&self.settings().name);
                    transaction(&state, operation, updates, vec![guard])
                }
                Err(refusal) => return Outcome::Refused(refusal),
            }
        };
        self.commit(&transaction, now).await
    }

    /// Commits up to [`MAX_BATCH`] queued decisions of `duty` that change different rows in one
    /// transaction, in the order of the queue. Removes from the queue these decisions and those of
    /// `duty` that the state no longer allows; if this entry does not hold the duty, removes all
    /// decisions of `duty`.
    pub(super) async fn execute_batch(
        &self,
        duty: &Duty,
        queue: &mut VecDeque<Proposal>,
        now: Time,
    ) -> Batch {
        let (batch, transaction) = {
            let mut state = self.state();
            let Some(lease) = state.held(duty) else {
                let (lost, kept) = queue.drain(..).partition(|proposal| proposal.duty == *duty);
                *queue = kept;
                return Batch { refused: lost.into(), ..Batch::default() };
            };
            let guard = Condition { key: duty.key(), version: lease.version };
            let (batch, updates) = take_batch(&state, duty, queue, self.row_time(now));
            let operation = state.next_operation(&self.settings().name);
            (batch, transaction(&state, operation, updates, vec![guard]))
        };
        if batch.decisions.is_empty() {
            return batch;
        }
        Batch { outcome: self.commit(&transaction, now).await, ..batch }
    }

    /// Commits a transaction and applies its writes, or the row that it conflicted with.
    pub async fn commit(&self, transaction: &Transaction, now: Time) -> Outcome {
        match self.core.table.commit(transaction).await {
            Ok(commit) => {
                let mut state = self.state();
                state.last_answer = Some(now);
                state.apply_commit(transaction, &commit, now)
            }
            Err(Error::Unknown(reason)) => Outcome::Unknown(reason),
            Err(error) => Outcome::Unavailable(error.to_string()),
        }
    }
}

impl State {
    /// Applies the result of a commit: its writes, or the row that it conflicted with.
    pub fn apply_commit(
        &mut self,
        transaction: &Transaction,
        commit: &Commit,
        now: Time,
    ) -> Outcome {
        match commit {
            Commit::Done(position) => {
                self.apply_writes(transaction, *position, now);
                Outcome::Done
            }
            Commit::Conflict(row) => {
                self.apply(row, now);
                Outcome::Raced
            }
            Commit::Missing(key) => {
                self.apply_missing(key, now);
                Outcome::Raced
            }
        }
    }

    /// Applies the writes of a transaction that was committed at `position`.
    pub fn apply_writes(&mut self, transaction: &Transaction, position: Position, now: Time) {
        let version = Version(position.0);
        for write in &transaction.writes {
            let Some(value) = write.value.clone() else {
                self.apply_deleted(&write.key, version, now);
                continue;
            };
            let operation = transaction.operation.clone();
            self.apply(&Row { key: write.key.clone(), version, operation, value }, now);
        }
    }
}

/// Decisions committed in one transaction.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) decisions: Vec<Proposal>,
    /// The outcome of the transaction.
    pub(super) outcome: Outcome,
    /// Decisions that the present state no longer allows, or whose duty was lost.
    pub(super) refused: Vec<Proposal>,
}

/// Takes from the queue up to [`MAX_BATCH`] decisions of `duty` that change different rows, and
/// those that the state no longer allows. Returns both, and the row updates of the allowed ones.
fn take_batch(
    state: &State,
    duty: &Duty,
    queue: &mut VecDeque<Proposal>,
    row_now: Time,
) -> (Batch, Vec<Update>) {
    let mut batch = Batch::default();
    let mut batch_updates = Vec::new();
    let mut touched = BTreeSet::new();
    for proposal in std::mem::take(queue) {
        if proposal.duty != *duty || batch.decisions.len() >= MAX_BATCH {
            queue.push_back(proposal);
            continue;
        }
        let updates = match effect(state, &proposal.decision, row_now) {
            Ok(updates) => updates,
            Err(refusal) => {
                let what = decision::line(&state.world, &proposal.decision);
                tracing::debug!(event = "decision-refused", %duty, what, reason = %refusal);
                batch.refused.push(proposal);
                continue;
            }
        };
        if updates.iter().any(|update| touched.contains(&update.key)) {
            queue.push_back(proposal);
            continue;
        }
        touched.extend(updates.iter().map(|update| update.key.clone()));
        batch_updates.extend(updates);
        batch.decisions.push(proposal);
    }
    (batch, batch_updates)
}

/// The row updates that carry out a decision, or why the state does not allow it.
pub(crate) fn effect(
    state: &State,
    decision: &Decision,
    row_now: Time,
) -> Result<Vec<Update>, Refusal> {
    let changes = decision::effect(&state.world, decision, row_now)?;
    Ok(changes.iter().map(|change| row::write(&state.world, change)).collect())
}

/// A transaction that writes `updates`, conditional on `guards` and on the version of each row in
/// `state`.
pub(crate) fn transaction(
    state: &State,
    operation: String,
    updates: Vec<Update>,
    guards: Vec<Condition>,
) -> Transaction {
    let mut conditions = guards;
    let mut writes = Vec::new();
    for Update { key, value } in updates {
        conditions.push(Condition { key: key.clone(), version: state.versions.version(&key) });
        writes.push(Write { key, value });
    }
    Transaction { operation: Operation(operation), conditions, writes }
}
