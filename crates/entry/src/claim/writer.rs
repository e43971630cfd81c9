//! Sends conditional writes to the table service, several in one transaction.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use platform::Error;
use platform::table::Commit;
use platform::table::Operation;
use platform::table::Row;
use platform::table::Table;
use platform::table::Transaction;
use platform::table::Version;

use super::batch::Batch;
use super::batch::Item;
use super::batch::Settled;
use crate::clock::Clock;

/// Minimum time between the starts of two transactions. It limits nine entries that claim keys
/// all the time to 300 transactions per second in total.
const INTERVAL: Duration = Duration::from_millis(30);

/// Timeout of a transaction or read.
const TIMEOUT: Duration = Duration::from_secs(4);

/// First backoff after a failed transaction; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff after failed transactions.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of queued writes, which bounds the memory used during an outage of the store.
const MAX_QUEUED: usize = 1_024;

/// How a failed write is treated, and where the result is sent.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// Tried once: a caller waits for the result, or a later scan deletes the expired row.
    Claim(Sender<Written>),
    /// Retried until it is settled.
    Record(Sender<Written>),
}

/// Result of a write, for its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// The row was written and has this version.
    Done(Version),
    /// The row has another version; this is the row.
    Conflict(Row),
    /// The row does not exist.
    Missing,
    /// The row was certainly not written.
    Unavailable,
    /// The row may have been written, or may still be, by this operation.
    Unconfirmed(Operation),
}

impl From<Settled> for Written {
    fn from(settled: Settled) -> Self {
        match settled {
            Settled::Done(version) => Self::Done(version),
            Settled::Conflict(row) => Self::Conflict(row),
            Settled::Missing => Self::Missing,
        }
    }
}

/// Queues conditional writes and commits them to a table in batches.
#[derive(Debug)]
pub(crate) struct Writer<T> {
    table: T,
    clock: Clock,
    name: String,
    operations: Cell<u64>,
    waiting: RefCell<VecDeque<Item<Purpose>>>,
    wake: (Sender<()>, Receiver<()>),
    down_until: Cell<Time>,
    backoff: Cell<Duration>,
}

impl<T: Table> Writer<T> {
    /// `name` must be unique to this process: it makes the ids of operations unique.
    pub(crate) fn new(table: T, clock: Clock, name: String) -> Self {
        Self {
            table,
            clock,
            name,
            operations: Cell::new(0),
            waiting: RefCell::default(),
            wake: async_channel::bounded(1),
            down_until: Cell::new(Time::ZERO),
            backoff: Cell::new(MIN_BACKOFF),
        }
    }

    /// The table, for reading.
    pub(crate) fn table(&self) -> &T {
        &self.table
    }

    /// Whether the last transaction failed and its backoff has not passed.
    pub(crate) fn is_down(&self) -> bool {
        self.clock.now() < self.down_until.get()
    }

    /// Writes a row and waits for the result.
    pub(crate) async fn write_row(
        &self,
        key: &str,
        version: Version,
        value: Option<String>,
        purpose: fn(Sender<Written>) -> Purpose,
    ) -> Written {
        let (reply, written) = async_channel::bounded(1);
        self.push(Item { key: key.to_owned(), version, value, tag: purpose(reply) });
        written.recv().await.unwrap_or(Written::Unavailable)
    }

    /// Queues a write. Drops the oldest one if there are too many.
    fn push(&self, item: Item<Purpose>) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_QUEUED {
            // The row of the dropped write stays claimed in the table, so its request never runs
            // again.
            waiting.pop_front();
            tracing::warn!(event = "claim-record-dropped", limit = MAX_QUEUED);
        }
        waiting.push_back(item);
        let _ = self.wake.0.try_send(());
    }

    /// Commits queued writes for as long as the queue exists.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut next = self.clock.now();
        while self.wake.1.recv().await.is_ok() {
            while !self.waiting.borrow().is_empty() {
                self.sleep_until(next).await;
                next = self.clock.now() + INTERVAL;
                let batch = Batch::take(&mut self.waiting.borrow_mut());
                self.write_batch(batch).await;
                if self.is_down() {
                    self.sleep_until(self.down_until.get()).await;
                }
            }
        }
    }

    async fn sleep_until(&self, time: Time) {
        let wait = time.since(self.clock.now());
        if !wait.is_zero() {
            Timer::after(wait).await;
        }
    }

    /// Commits a batch. After a conflict, commits the rest again without the conflicting write.
    async fn write_batch(&self, mut batch: Batch<Purpose>) {
        while !batch.is_empty() {
            let operation = self.operation();
            let transaction = batch.transaction(operation.clone());
            match self.commit(&transaction).await {
                Ok(commit) => {
                    self.mark_up();
                    let settled = batch.settle(commit);
                    if settled.is_empty() {
                        // The commit names a row that is not in the batch, so it does not tell the
                        // outcome of the batch.
                        return self.fail(batch, Written::Unconfirmed(operation));
                    }
                    for (item, outcome) in settled {
                        reply(item, outcome.into());
                    }
                }
                Err(Error::Unavailable(reason)) => {
                    self.mark_down(&reason);
                    return self.fail(batch, Written::Unavailable);
                }
                Err(error) => {
                    return self.read_back(batch, operation, &error).await;
                }
            }
        }
    }

    /// Reads a row back to find out whether a transaction took effect whose reply was lost.
    async fn read_back(&self, mut batch: Batch<Purpose>, operation: Operation, error: &Error) {
        let read = match batch.probe_key() {
            Some(key) => self.table.get(key).or(timeout()).await,
            None => Ok(None),
        };
        match read {
            Ok(Some(row)) if row.operation == operation => {
                for item in batch.drain() {
                    reply(item, Written::Done(row.version));
                }
            }
            _ => {
                self.mark_down(&error.to_string());
                self.fail(batch, Written::Unconfirmed(operation));
            }
        }
    }

    /// Fails the claims of a batch with `outcome`, and queues its other writes again.
    fn fail(&self, mut batch: Batch<Purpose>, outcome: Written) {
        for item in batch.drain() {
            match item.tag {
                Purpose::Claim(_) => reply(item, outcome.clone()),
                Purpose::Record(_) => self.push(item),
            }
        }
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        self.table.commit(transaction).or(timeout()).await
    }

    /// A new operation id.
    fn operation(&self) -> Operation {
        let number = self.operations.get();
        self.operations.set(number + 1);
        Operation(format!("{}-{number}", self.name))
    }

    fn mark_up(&self) {
        self.backoff.set(MIN_BACKOFF);
        self.down_until.set(Time::ZERO);
    }

    fn mark_down(&self, reason: &str) {
        tracing::warn!(event = "claim-store-unavailable", reason);
        let backoff = self.backoff.get();
        self.down_until.set(self.clock.now() + backoff);
        self.backoff.set((backoff * 2).min(MAX_BACKOFF));
    }
}

/// Fails after [`TIMEOUT`].
async fn timeout<R>() -> Result<R, Error> {
    Timer::after(TIMEOUT).await;
    Err(Error::Unknown("no reply in time".to_owned()))
}

/// Sends the result of a write to its sender.
fn reply(item: Item<Purpose>, outcome: Written) {
    let (Purpose::Claim(reply) | Purpose::Record(reply)) = item.tag;
    // Fails only if the sender no longer waits.
    let _ = reply.try_send(outcome);
}
