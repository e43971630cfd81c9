//! Writes changes to the store, one transaction at a time.
//!
//! Each transaction rewrites the leader's row, with the row's version as a condition. So nothing is
//! written after the next leader's term has begun, nor by a late attempt of an earlier write.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::Commit;
use adapter::store::Error;
use adapter::store::MAX_CALL_BYTES;
use adapter::store::MAX_ENTRIES;
use adapter::store::Row;
use adapter::store::Transaction;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use futures_util::stream::FuturesUnordered;
use scheduler::core::Handover;
use scheduler::core::Limits;
use scheduler::core::Table;
use scheduler::instance;
use scheduler::job::part;
use tracing::error;
use tracing::info;
use tracing::warn;

use super::Record;
use super::Term;
use super::hedge::Attempts;
use super::hedge::Outcome;
use super::store_clock::Reading;
use crate::Node;
use crate::clock;
use crate::rows;
use crate::rows::Leader;

/// Interval between writes if there is nothing to store: shows other nodes that the leader is
/// alive. The election timeout is twice as long.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(350);

/// Pause between two writes, so that each carries more than one change.
const BATCH_DELAY: Duration = Duration::from_millis(8);

/// Time after which a write is logged as slow: some hundred times the usual latency.
const SLOW_WRITE: Duration = Duration::from_millis(1_000);

/// Entries of the leader's row: its condition and its new contents.
const LEADER_ENTRIES: usize = 2;

/// Maximum length of the leader's entries, in bytes.
const LEADER_BYTES: usize = 4 << 10;

/// Maximum number of machines in one write.
const MAX_MACHINE_ROWS: usize = 20;

/// Maximum number of rows of waves in one write, beyond those of a single wave.
const MAX_WAVE_ROWS: usize = 20;

/// Maximum number of unresponsive instances in one write.
const MAX_UNRESPONSIVE_ROWS: usize = 10;

/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Writes changes until the term is over, or its last write is due.
pub(super) async fn run(node: Rc<Node>, term: Rc<Term>) {
    while !term.is_over() {
        if !term.core.borrow().is_dirty(clock::now()) {
            term.writer.wait_timeout(RENEWAL_INTERVAL).await;
        }
        if term.is_over() || term.stepping_down.get() {
            return;
        }
        write(&node, &term, false).await;
        // The next write is full already: a pause would only delay those behind it.
        let full = term.core.borrow().unwritten_jobs() >= MAX_ENTRIES;
        let failing = term.failing_since.get().is_some();
        if failing || !full {
            Timer::after(BATCH_DELAY).await;
        }
    }
}

/// Writes the remaining changes and that the leader has stepped down. Gives up after `timeout`.
pub(super) async fn step_down(node: &Node, term: &Term, timeout: Duration) {
    let expired = async {
        Timer::after(timeout).await;
    };
    term.stepping_down.set(true);
    let writing = async {
        // A write in flight has to end first, also one that only renews the leader's row.
        while term.writing.get() && !term.is_over() {
            Timer::after(BATCH_DELAY).await;
        }
        if !term.is_over() {
            write(node, term, true).await;
        }
    };
    writing.or(expired).await;
}

/// Writes one transaction, unless another write is in flight.
async fn write(node: &Node, term: &Term, stepped_down: bool) {
    if term.writing.replace(true) {
        return;
    }
    let (transaction, leader) = prepare(term, stepped_down);
    let began = clock::now();
    let retrying = term.unwritten_since.get().is_some();
    term.unwritten_since.set(term.unwritten_since.get().or(Some(began)));
    let written = persist(node, term, &transaction, &leader).await;
    term.writing.set(false);
    let (commit, sent) = match written {
        Written::Done(commit, sent) => (commit, sent),
        Written::Failed(error) => {
            term.failing_since.set(term.failing_since.get().or(Some(began)));
            let refused = matches!(error, Error::Refused(_));
            if refused {
                let (entries, bytes) = (transaction.entries(), transaction.call_bytes());
                error!(event = "refused-write", %error, entries, bytes);
                term.core.borrow_mut().reject_write(clock::now());
            } else {
                if !retrying {
                    warn!(event = "dependency", name = "store-writes", state = "lost", %error);
                }
                term.core.borrow_mut().abort_write();
            }
            Timer::after(RETRY_DELAY).await;
            return;
        }
        Written::TermEnded => return,
    };
    term.unwritten_since.set(None);
    term.failing_since.set(None);
    let now = clock::now();
    term.record.replace(Record { leader, version: commit.version });
    term.proven_at.set(sent);
    if commit.clock_ms > 0 {
        term.store_clock.set(Reading { clock_ms: commit.clock_ms, sent, received: now });
    }
    let took = now.since(began);
    node.metrics.write(took);
    if retrying || took > SLOW_WRITE {
        let took_ms = took.as_millis();
        info!(event = "dependency", name = "store-writes", state = "regained", took_ms);
    }
    let unstored = instances_with_unstored_ends(term);
    term.core.borrow_mut().finish_write(now);
    // The planner may be in its pause.
    term.dispatch();
    notify_waiters(term);
    term.planner.notify();
    let handles = term.handles.borrow();
    let handles = unstored.into_iter().filter_map(|key| handles.get(u32::from(key) as usize));
    handles.for_each(|handle| handle.ends_stored.notify());
}

/// The instances whose heartbeats may wait until the ends that they have reported are stored. Most
/// instances of a term have none: each move or restart of a machine adds one that has gone.
fn instances_with_unstored_ends(term: &Term) -> Vec<instance::Key> {
    let core = term.core.borrow();
    let instances = core.instances();
    let unstored = instances.filter(|(_, it)| it.last_end_seen > it.last_end_stored);
    unstored.map(|(key, _)| key).collect()
}

/// Notifies the callers that wait for jobs which the store holds now. If a job changes again before
/// they are answered, the answer is still true.
fn notify_waiters(term: &Term) {
    let core = term.core.borrow();
    term.save_waiters.borrow_mut().retain(|id, waiters| {
        if !core.is_saved(*id) {
            return true;
        }
        for waiter in waiters {
            // Fails only if the caller has stopped waiting.
            let _ = waiter.try_send(());
        }
        false
    });
}

/// Builds the transaction of all changes, and the leader's row that it writes.
fn prepare(term: &Term, stepped_down: bool) -> (Transaction, Leader) {
    let record = term.record.borrow();
    let mut core = term.core.borrow_mut();
    let mut transaction =
        Transaction { partition: rows::PARTITION.to_owned(), ..Transaction::default() };
    let now = clock::now();
    let others = core.writes_others(now);
    let max_unresponsive = if others { MAX_UNRESPONSIVE_ROWS } else { 0 };
    let store_ms = term.store_clock.get().latest_ms(now);
    for change in core.take_expiry_changes(now, store_ms, max_unresponsive) {
        match change.expires_ms {
            Some(expires_ms) => {
                let value = expires_ms.to_string().into_bytes();
                transaction.puts.push((rows::UNRESPONSIVE, change.instance, value));
            }
            None => transaction.deletes.push((rows::UNRESPONSIVE, change.instance)),
        }
    }
    for machine in core.take_call_hosts(if others { MAX_MACHINE_ROWS } else { 0 }) {
        let value = store_ms.to_string().into_bytes();
        transaction.puts.push((rows::MACHINE_CALLS, machine, value));
    }
    for row in core.take_wave_rows(if others { MAX_WAVE_ROWS } else { 0 }) {
        let key = row.key();
        let row = rows::Wave { begun: row.begun, completed: row.completed };
        transaction.puts.push((rows::WAVES, key, part::encode(&row)));
    }
    let limits = Limits {
        rows: MAX_ENTRIES.saturating_sub(transaction.entries() + LEADER_ENTRIES),
        bytes: MAX_CALL_BYTES.saturating_sub(transaction.call_bytes() + LEADER_BYTES),
    };
    for row in core.begin_write(limits) {
        let table = match row.table {
            Table::Bodies => rows::BODIES,
            Table::Progress => rows::PROGRESS,
        };
        match row.value {
            Some(value) => transaction.puts.push((table, row.key, value)),
            None => transaction.deletes.push((table, row.key)),
        }
    }
    // Depends on which starts this write records.
    let Handover { unrecorded, overlap, lease_excess } = core.handover(clock::now());
    if stepped_down {
        info!(
            event = "reign",
            state = "handover",
            epoch = term.epoch,
            restored = core.is_restored(),
            unrecorded,
            overlap_ms = overlap.as_millis(),
            excess_ms = lease_excess.as_millis(),
        );
    }
    let leader = Leader {
        writes: record.leader.writes + 1,
        stepped_down,
        unrecorded,
        overlap_ms: overlap.as_millis() as u64,
        excess_ms: lease_excess.as_millis() as u64,
        ..record.leader.clone()
    };
    let key = rows::LEADER.to_owned();
    let value = part::encode(&leader);
    transaction.conditions.push((rows::LEADERS, key.clone(), record.version));
    transaction.puts.push((rows::LEADERS, key, value));
    (transaction, leader)
}

/// Outcome of a write.
enum Written {
    /// The write has taken effect, by an attempt that was sent at this time or later.
    Done(Commit, Time),
    /// The write has not taken effect, and never will.
    Failed(Error),
    /// The outcome is unknown, since the term has ended.
    TermEnded,
}

/// Sends attempts of a write until its outcome is known.
async fn persist(node: &Node, term: &Term, transaction: &Transaction, leader: &Leader) -> Written {
    let first_sent = clock::now();
    let mut attempts = Attempts::open(first_sent, term.write_latency.get());
    let mut in_flight = FuturesUnordered::new();
    in_flight.push(send(node, transaction, None));
    loop {
        let due = attempts.next_due();
        let Some((sent, answer)) = next_answer(&mut in_flight, due).await else {
            attempts.record_sent(clock::now());
            in_flight.push(send(node, transaction, Some(leader)));
            continue;
        };
        let now = clock::now();
        let error = match answer {
            Ok(commit) => {
                let mut latency = term.write_latency.get();
                latency.observe(now.since(sent));
                term.write_latency.set(latency);
                return Written::Done(commit, sent);
            }
            Err(Error::Conflict(current)) => match written_version(&current, leader) {
                // An earlier attempt has taken effect after all.
                Some(version) => return Written::Done(Commit { version, clock_ms: 0 }, first_sent),
                None => {
                    term.end("another node is the leader");
                    return Written::TermEnded;
                }
            },
            Err(error) => error,
        };
        if term.is_over() {
            return Written::TermEnded;
        }
        if matches!(error, Error::Refused(_)) {
            // All attempts are the same call. None has taken effect: that would have been a conflict.
            return Written::Failed(error);
        }
        term.failing_since.set(term.failing_since.get().or(Some(first_sent)));
        let unknown = matches!(error, Error::Unknown(_));
        if attempts.record_failure(now, unknown) == Outcome::Failed {
            return Written::Failed(error);
        }
    }
}

/// Sends one attempt of a write. Returns when it was sent and its result.
///
/// With `leader`, the row that the write would leave, first reads the row to find out whether an
/// earlier attempt has taken effect: answers to reads are lost less often.
async fn send(
    node: &Node,
    transaction: &Transaction,
    leader: Option<&Leader>,
) -> (Time, Result<Commit, Error>) {
    let sent = clock::now();
    if let Some(leader) = leader {
        match node.store.row(rows::LEADERS, rows::PARTITION, rows::LEADER).await {
            Ok(Some(row)) => {
                if let Some(version) = written_version(std::slice::from_ref(&row), leader) {
                    return (sent, Ok(Commit { version, clock_ms: 0 }));
                }
            }
            Ok(None) => {}
            // This attempt has written nothing.
            Err(error) => return (sent, Err(Error::Unavailable(error.to_string()))),
        }
    }
    (sent, node.store.transact(transaction).await)
}

/// Waits for the next answer to an attempt of a write. Returns none if another attempt is due
/// first.
async fn next_answer<F: Future>(
    in_flight: &mut FuturesUnordered<F>,
    due: Option<Time>,
) -> Option<F::Output> {
    let answer = async {
        match in_flight.next().await {
            Some(answer) => Some(answer),
            // No attempt is in flight: the next one is sent when it is due.
            None => std::future::pending().await,
        }
    };
    let next_due = async {
        match due {
            Some(due) => Timer::after(due.since(clock::now())).await,
            None => std::future::pending().await,
        };
        None
    };
    answer.or(next_due).await
}

/// The version of the leader's row in `current`, if its contents are those that the write would
/// leave.
fn written_version(current: &[Row], leader: &Leader) -> Option<u64> {
    let row = current.iter().find(|row| row.key == rows::LEADER)?;
    let found: Leader = serde_json::from_slice(&row.value).ok()?;
    (found == *leader).then_some(row.version)
}
