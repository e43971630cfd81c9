//! Takes up and hands over duties.

use fleet::time::Time;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Transaction;
use platform::table::Write;

use super::Engine;
use super::Environment;
use super::Outcome;
use crate::lease::Transfer;

/// Duties that are taken up at once.
const MAX_TRANSFERS: usize = 16;

impl<P: Environment> Engine<P> {
    /// Takes up duties that are this entry's, and hands over one too many.
    pub async fn rebalance(&self, now: Time) {
        let steps = {
            let mut guard = self.state();
            let state = &mut *guard;
            if !state.may_decide(now) || state.is_superseded(self.settings()) {
                return;
            }
            state.leases.plan(&state.watch, now)
        };
        for step in steps.into_iter().take(MAX_TRANSFERS) {
            if !matches!(self.commit_transfer(&step, now).await, Outcome::Done | Outcome::Raced) {
                return;
            }
        }
    }

    /// Gives all duties up, and says in this entry's row that its process sends nothing more.
    ///
    /// To be called once the request path has nothing in flight.
    pub async fn shut_down(&self, now: Time) {
        let steps = {
            let mut state = self.state();
            state.stopping = true;
            state.leases.release()
        };
        for step in steps {
            self.commit_transfer(&step, now).await;
        }
        self.heartbeat(now).await;
    }

    async fn commit_transfer(&self, step: &Transfer, now: Time) -> Outcome {
        let operation = self.state().next_operation(&self.settings().name);
        let outcome = self.commit(&transaction(step, operation), now).await;
        let Transfer { duty, row: after, .. } = step;
        let done = outcome == Outcome::Done;
        tracing::info!(event = "duty", %duty, to = after.holder, epoch = after.epoch, done);
        outcome
    }
}

fn transaction(step: &Transfer, operation: String) -> Transaction {
    let key = step.duty.key();
    Transaction {
        operation: Operation(operation),
        conditions: vec![Condition { key: key.clone(), version: step.expected_version }],
        writes: vec![Write { key, value: serde_json::to_string(&step.row).ok() }],
    }
}
