//! Carries conditional writes to the table service, many in one transaction.

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

/// Shortest time from the start of one transaction to the next: nine entries that claim keys all
/// the time then make 300 writes a second between them.
const INTERVAL: Duration = Duration::from_millis(30);

/// Longest wait for one transaction or read.
const TIMEOUT: Duration = Duration::from_secs(4);

/// First wait after the store did not take a write; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Writes without a waiting caller that are kept through an outage.
const MAX_QUEUED: usize = 1_024;

/// How a write is treated, and who is told how it ended.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// Tried once: a caller waits for it.
    Claim(Sender<Written>),
    /// Tried until it is settled.
    Record(Sender<Written>),
}

/// How a write ended, as its sender sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// The row is written and has this version.
    Done(Version),
    /// The row is another.
    Conflict(Row),
    /// The row is not there.
    Missing,
    /// The store took no notice, for certain.
    Unavailable,
    /// It may be written later; a release of the key is under way.
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

/// A queue of conditional writes in front of a table.
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
    /// `name` must differ from one process to the next: it makes operations unique.
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

    /// The table, to read from.
    pub(crate) fn table(&self) -> &T {
        &self.table
    }

    /// Whether the store did not take the last write and is being left alone.
    pub(crate) fn is_down(&self) -> bool {
        self.clock.now() < self.down_until.get()
    }

    /// Writes a row and waits until it is known what came of it.
    pub(crate) async fn settle(
        &self,
        key: &str,
        version: Version,
        value: Option<String>,
        tag: fn(Sender<Written>) -> Purpose,
    ) -> Written {
        let (reply, written) = async_channel::bounded(1);
        self.push(Item { key: key.to_owned(), version, value, tag: tag(reply) });
        written.recv().await.unwrap_or(Written::Unavailable)
    }

    /// Queues a write.
    fn push(&self, item: Item<Purpose>) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MAX_QUEUED {
            // The oldest stays as it is in the table: claimed, and never run again.
            waiting.pop_front();
            tracing::warn!(event = "claim-record-dropped", limit = MAX_QUEUED);
        }
        waiting.push_back(item);
        let _ = self.wake.0.try_send(());
    }

    /// Writes until the last handle is gone.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut next = self.clock.now();
        while self.wake.1.recv().await.is_ok() {
            while !self.waiting.borrow().is_empty() {
                self.sleep_until(next).await;
                next = self.clock.now() + INTERVAL;
                let batch = Batch::take(&mut self.waiting.borrow_mut());
                self.write(batch).await;
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

    async fn write(&self, mut batch: Batch<Purpose>) {
        while !batch.is_empty() {
            let operation = self.operation();
            let transaction = batch.transaction(operation.clone());
            match self.commit(&transaction).await {
                Ok(commit) => {
                    self.mark_up();
                    let settled = batch.settle(commit);
                    if settled.is_empty() {
                        // It names a row that we did not ask for: nothing can be told from it.
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

    /// Finds out whether a transaction whose reply was lost took effect.
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

    /// Claims end here; everything else is tried again.
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

async fn timeout<R>() -> Result<R, Error> {
    Timer::after(TIMEOUT).await;
    Err(Error::Unknown("no reply in time".to_owned()))
}

fn reply(item: Item<Purpose>, outcome: Written) {
    let (Purpose::Claim(reply) | Purpose::Record(reply)) = item.tag;
    // Whoever asked listens until it is told.
    let _ = reply.try_send(outcome);
}
