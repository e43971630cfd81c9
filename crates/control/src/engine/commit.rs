//! Transactions built, committed and taken in.

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

/// What came of carrying out a decision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// It is recorded and taken in.
    #[default]
    Done,
    /// It may not be carried out as things stand.
    Refused(Refusal),
    /// A row had changed; it has been taken in and the decision is to be weighed again.
    Raced,
    /// This entry does not hold the duty.
    NotHeld,
    /// Nothing was recorded.
    Unavailable(String),
    /// It may have been recorded; the table's changes will tell.
    Unknown(String),
}

impl<P: Environment> Engine<P> {
    /// Carries out a decision that rests on a duty: it takes effect only if this entry still holds
    /// the duty and every row is as this entry knows it.
    pub async fn execute(&self, duty: &Duty, decision: &Decision, now: Time) -> Outcome {
        let transaction = {
            let mut state = self.state();
            let Some(held) = state.held(duty) else { return Outcome::NotHeld };
            let guard = Condition { key: duty.key(), version: held.version };
            match effect(&state, decision, self.row_time(now)) {
                Ok(entries) => {
                    let operation = state.next_operation(&self.settings().name);
                    transaction(&state, operation, entries, vec![guard])
                }
                Err(refusal) => return Outcome::Refused(refusal),
            }
        };
        self.commit(&transaction, now).await
    }

    /// Carries out the first of the decisions that rest on `duty`, and with it as many more as
    /// change other rows, in one transaction. Takes them from the queue, with those that may no
    /// longer be carried out.
    pub(super) async fn execute_batch(
        &self,
        duty: &Duty,
        queue: &mut VecDeque<Proposal>,
        now: Time,
    ) -> Batch {
        let (batch, transaction) = {
            let mut state = self.state();
            let Some(held) = state.held(duty) else {
                let (lost, kept) = queue.drain(..).partition(|wanted| wanted.duty == *duty);
                *queue = kept;
                return Batch { refused: lost.into(), ..Batch::default() };
            };
            let guard = Condition { key: duty.key(), version: held.version };
            let (batch, entries) = take_batch(&state, duty, queue, self.row_time(now));
            let operation = state.next_operation(&self.settings().name);
            (batch, transaction(&state, operation, entries, vec![guard]))
        };
        if batch.decisions.is_empty() {
            return batch;
        }
        Batch { outcome: self.commit(&transaction, now).await, ..batch }
    }

    /// Commits a transaction and takes in what it did, or the row that it raced with.
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
    /// Takes in how a transaction ended.
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

    /// Takes in what a transaction that took effect at `position` wrote.
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

/// Decisions carried out together.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) decisions: Vec<Proposal>,
    /// What came of them.
    pub(super) outcome: Outcome,
    /// Those that may no longer be carried out as things stand.
    pub(super) refused: Vec<Proposal>,
}

/// Takes decisions of one duty from the queue that change different rows, and those that may no
/// longer be carried out.
fn take_batch(
    state: &State,
    duty: &Duty,
    queue: &mut VecDeque<Proposal>,
    row_now: Time,
) -> (Batch, Vec<Update>) {
    let mut batch = Batch::default();
    let mut rows = Vec::new();
    let mut touched = BTreeSet::new();
    for wanted in std::mem::take(queue) {
        if wanted.duty != *duty || batch.decisions.len() >= MAX_BATCH {
            queue.push_back(wanted);
            continue;
        }
        let entries = match effect(state, &wanted.decision, row_now) {
            Ok(entries) => entries,
            Err(refusal) => {
                let what = decision::line(&state.world, &wanted.decision);
                tracing::debug!(event = "decision-refused", %duty, what, reason = %refusal);
                batch.refused.push(wanted);
                continue;
            }
        };
        if entries.iter().any(|entry| touched.contains(&entry.key)) {
            queue.push_back(wanted);
            continue;
        }
        touched.extend(entries.iter().map(|entry| entry.key.clone()));
        rows.extend(entries);
        batch.decisions.push(wanted);
    }
    (batch, rows)
}

/// The rows that a decision changes.
pub(crate) fn effect(
    state: &State,
    decision: &Decision,
    row_now: Time,
) -> Result<Vec<Update>, Refusal> {
    let changes = decision::effect(&state.world, decision, row_now)?;
    Ok(changes.iter().map(|change| row::write(&state.world, change)).collect())
}

/// A transaction that writes `entries` if they are as `state` knows them, and if `guards` hold.
pub(crate) fn transaction(
    state: &State,
    operation: String,
    entries: Vec<Update>,
    guards: Vec<Condition>,
) -> Transaction {
    let mut conditions = guards;
    let mut writes = Vec::new();
    for Update { key, value } in entries {
        conditions.push(Condition { key: key.clone(), version: state.versions.version(&key) });
        writes.push(Write { key, value });
    }
    Transaction { operation: Operation(operation), conditions, writes }
}
