//! Rebalancing: acquires duties and transfers them to other entries.

use fleet::time::Time;
use platform::table::Condition;
use platform::table::Operation;
use platform::table::Transaction;
use platform::table::Write;

use super::Engine;
use super::Environment;
use super::Outcome;
use crate::lease::Transfer;

/// Transfers of duties committed in one step.
const MAX_TRANSFERS: usize = 16;

impl<E: Environment> Engine<E> {
    /// Takes over the orphaned duties planned for this entry, or hands over one if this entry holds
    /// too many.
    pub async fn rebalance(&self, now: Time) {
        let transfers = {
            let mut guard = self.state();
            let state = &mut *guard;
            if !state.may_decide(now) || state.is_superseded(self.settings()) {
                return;
            }
            state.leases.plan(&state.watch, now)
        };
        for transfer in transfers.into_iter().take(MAX_TRANSFERS) {
            if !matches!(self.commit_transfer(&transfer, now).await, Outcome::Done | Outcome::Raced)
            {
                return;
            }
        }
    }

    /// Releases all duties, and records in this entry's member row that its process sends no more
    /// requests.
    ///
    /// Must be called only once the request path has no request in flight.
    pub async fn shut_down(&self, now: Time) {
        let transfers = {
            let mut state = self.state();
            state.stopping = true;
            state.leases.release()
        };
        for transfer in transfers {
            self.commit_transfer(&transfer, now).await;
        }
        self.heartbeat(now).await;
    }

    /// Commits one transfer of a duty and logs whether it took effect.
    async fn commit_transfer(&self, transfer: &Transfer, now: Time) -> Outcome {
        let operation = self.state().next_operation(&self.settings().name);
        let outcome = self.commit(&transaction(transfer, operation), now).await;
        let Transfer { duty, row, .. } = transfer;
        let done = outcome == Outcome::Done;
        tracing::info!(event = "duty", %duty, to = row.holder, epoch = row.epoch, done);
        outcome
    }
}

/// The transaction that writes the duty's row, conditional on its version.
fn transaction(transfer: &Transfer, operation: String) -> Transaction {
    let key = transfer.duty.key();
    Transaction {
        operation: Operation(operation),
        conditions: vec![Condition { key: key.clone(), version: transfer.expected_version }],
        writes: vec![Write { key, value: serde_json::to_string(&transfer.row).ok() }],
    }
}
