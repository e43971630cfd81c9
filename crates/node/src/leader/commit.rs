//! Writes to the store, one transaction at a time.
//!
//! Each of them rewrites the row of the office and has its version as a condition: nothing is
//! written after a successor has begun, nor by a late copy of an earlier call.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::Done;
use adapter::store::Error;
use adapter::store::Row;
use adapter::store::Transaction;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use futures_util::stream::FuturesUnordered;
use scheduler::core::BodyChange;
use tracing::info;
use tracing::warn;

use super::Record;
use super::Term;
use super::hedge::Attempts;
use super::hedge::Outcome;
use crate::Node;
use crate::clock;
use crate::rows;
use crate::rows::Leader;

/// Time between two writes when there is nothing to write: tells others that the office is held.
/// Two of them fall into the silence after which a node in office is taken to be gone.
const BEAT: Duration = Duration::from_millis(350);

/// Pause between two writes, so that each carries more than one change.
const PAUSE: Duration = Duration::from_millis(8);

/// A write that took so long was held up: some hundred times what the store takes as a rule.
const SLOW: Duration = Duration::from_millis(1_000);

/// Rows of jobs in one write: with those of machines and of the office below the store's 100 a
/// call.
const MAX_ROWS: usize = 60;

/// Machines in one write.
const MAX_CALLS: usize = 20;

/// Silent instances in one write.
const MAX_SILENCES: usize = 10;

/// Pause after a failed write.
const RETRY: Duration = Duration::from_millis(40);

/// Writes until the reign is over.
pub(super) async fn run(node: Rc<Node>, reign: Rc<Term>) {
    while !reign.is_over() {
        if !reign.core.borrow().is_dirty(clock::now()) {
            reign.writing.wait_for(BEAT).await;
        }
        if reign.is_over() {
            return;
        }
        write(&node, &reign, false).await;
        Timer::after(PAUSE).await;
    }
}

/// Writes what is left, and that the office is free.
pub(super) async fn leave(node: &Node, reign: &Term, timeout: Duration) {
    let late = async {
        Timer::after(timeout).await;
    };
    reign.leaving.set(true);
    let leaving = async {
        // A write under way comes first.
        while reign.core.borrow().is_writing() && !reign.is_over() {
            Timer::after(PAUSE).await;
        }
        if !reign.is_over() {
            write(node, reign, true).await;
        }
    };
    leaving.or(late).await;
}

async fn write(node: &Node, reign: &Term, left: bool) {
    if reign.busy.replace(true) {
        return;
    }
    let (transaction, holder) = prepare(reign, left);
    let began = clock::now();
    let lost = reign.writing_since.get().is_some();
    reign.writing_since.set(reign.writing_since.get().or(Some(began)));
    let written = persist(node, reign, &transaction, &holder).await;
    reign.busy.set(false);
    let (done, sent) = match written {
        Written::Done(done, sent) => (done, sent),
        Written::Not(error) => {
            reign.failing_since.set(reign.failing_since.get().or(Some(began)));
            if !lost {
                warn!(event = "dependency", name = "store-writes", state = "lost", %error);
            }
            reign.core.borrow_mut().abort_write();
            Timer::after(RETRY).await;
            return;
        }
        Written::Deposed => return,
    };
    reign.writing_since.set(None);
    reign.failing_since.set(None);
    let now = clock::now();
    reign.office.replace(Record { holder, version: done.version });
    reign.proven.set(sent);
    if done.clock_ms > 0 {
        reign.store_clock.set((done.clock_ms, now));
    }
    let took = now.since(began);
    node.metrics.write(took);
    if lost || took > SLOW {
        let took_ms = took.as_millis();
        info!(event = "dependency", name = "store-writes", state = "regained", took_ms);
    }
    reign.core.borrow_mut().finish_write(now);
    tell_waiting(reign);
    reign.planning.set();
    reign.ports.borrow().iter().for_each(|port| port.stored.set());
}

/// Tells those who wait for jobs that the store holds now. A job may change again before they hear
/// of it: what they were told stays true.
fn tell_waiting(reign: &Term) {
    let core = reign.core.borrow();
    reign.waiting.borrow_mut().retain(|id, waiting| {
        if !core.is_saved(*id) {
            return true;
        }
        for sender in waiting {
            // Whoever waited may have left.
            let _ = sender.try_send(());
        }
        false
    });
}

fn prepare(reign: &Term, left: bool) -> (Transaction, Leader) {
    let office = reign.office.borrow();
    let mut core = reign.core.borrow_mut();
    let rows = core.begin_write(MAX_ROWS);
    let unlogged = core.has_unrecorded();
    let count = office.holder.writes + 1;
    let holder =
        Leader { writes: count, stepped_down: left, unrecorded: unlogged, ..office.holder.clone() };
    let key = rows::LEADER.to_owned();
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let mut transaction = Transaction {
        part: rows::PART.to_owned(),
        conditions: vec![(rows::LEADERS, key.clone(), office.version)],
        puts: vec![(rows::LEADERS, key, value)],
        drops: Vec::new(),
    };
    for row in rows {
        let key = row.id.to_string();
        match row.body {
            BodyChange::Keep => {}
            BodyChange::Put(body) => {
                let value = serde_json::to_vec(&body).unwrap_or_default();
                transaction.puts.push((rows::BODIES, key.clone(), value));
            }
            BodyChange::Drop => transaction.drops.push((rows::BODIES, key.clone())),
        }
        match row.progress {
            Some(progress) => {
                let value = serde_json::to_vec(&progress).unwrap_or_default();
                transaction.puts.push((rows::PROGRESS, key, value));
            }
            None => transaction.drops.push((rows::PROGRESS, key)),
        }
    }
    let now = clock::now();
    for silence in core.take_expiry_changes(now, reign.store_ms(now), MAX_SILENCES) {
        match silence.expires_ms {
            Some(lapses_ms) => {
                let value = lapses_ms.to_string().into_bytes();
                transaction.puts.push((rows::UNRESPONSIVE, silence.instance, value));
            }
            None => transaction.drops.push((rows::UNRESPONSIVE, silence.instance)),
        }
    }
    for host in core.take_call_hosts(MAX_CALLS) {
        let value = reign.store_ms(now).to_string().into_bytes();
        transaction.puts.push((rows::MACHINE_CALLS, host, value));
    }
    if core.take_waves_dirty() {
        for wave in core.waves() {
            let row = rows::Wave { begun: wave.begun.clone(), completed: wave.completed };
            let value = serde_json::to_vec(&row).unwrap_or_default();
            transaction.puts.push((rows::WAVES, wave.wave.number.to_string(), value));
        }
    }
    (transaction, holder)
}

/// What became of a write.
enum Written {
    /// It is done, by a call that was sent at this time or later.
    Done(Done, Time),
    /// It is not, and never will be.
    Not(Error),
    /// The office is lost.
    Deposed,
}

/// Tries until it is known what became of a write.
async fn persist(node: &Node, reign: &Term, transaction: &Transaction, holder: &Leader) -> Written {
    let first = clock::now();
    let mut copies = Attempts::open(first, reign.usual.get());
    let mut open = FuturesUnordered::new();
    open.push(send(node, transaction, None));
    loop {
        let due = copies.next_due();
        let Some((sent, answer)) = next_answer(&mut open, due).await else {
            copies.send(clock::now());
            open.push(send(node, transaction, Some(holder)));
            continue;
        };
        let now = clock::now();
        let error = match answer {
            Ok(done) => {
                let mut usual = reign.usual.get();
                usual.observe(now.since(sent));
                reign.usual.set(usual);
                return Written::Done(done, sent);
            }
            Err(Error::Conflict(rows)) => match ours(&rows, holder) {
                // An earlier copy was done after all.
                Some(version) => return Written::Done(Done { version, clock_ms: 0 }, first),
                None => {
                    reign.end("another node is in office");
                    return Written::Deposed;
                }
            },
            Err(error) => error,
        };
        if reign.is_over() {
            return Written::Deposed;
        }
        reign.failing_since.set(reign.failing_since.get().or(Some(first)));
        let unknown = matches!(error, Error::Unknown(_));
        if copies.record_failure(now, unknown) == Outcome::Not {
            return Written::Not(error);
        }
    }
}

/// Sends a copy of a write; tells when it went out and what came of it. With `holder`, looks first
/// whether an earlier copy has been done: answers to reads get lost less often.
async fn send(
    node: &Node,
    transaction: &Transaction,
    holder: Option<&Leader>,
) -> (Time, Result<Done, Error>) {
    let sent = clock::now();
    if let Some(holder) = holder {
        match node.store.row(rows::LEADERS, rows::PART, rows::LEADER).await {
            Ok(Some(row)) => {
                if let Some(version) = ours(std::slice::from_ref(&row), holder) {
                    return (sent, Ok(Done { version, clock_ms: 0 }));
                }
            }
            Ok(None) => {}
            // Nothing was written by this copy.
            Err(error) => return (sent, Err(Error::Unavailable(error.to_string()))),
        }
    }
    (sent, node.store.transact(transaction).await)
}

/// The next answer to a copy of a write; nothing if another copy is due before.
async fn next_answer<F: Future>(
    open: &mut FuturesUnordered<F>,
    due: Option<Time>,
) -> Option<F::Output> {
    let answer = async {
        match open.next().await {
            Some(answer) => Some(answer),
            // None is under way: the next one is sent when it is due.
            None => std::future::pending().await,
        }
    };
    let late = async {
        match due {
            Some(due) => Timer::after(due.since(clock::now())).await,
            None => std::future::pending().await,
        };
        None
    };
    answer.or(late).await
}

/// The version of the office's row if it stands as we were about to write it.
fn ours(current: &[Row], holder: &Leader) -> Option<u64> {
    let row = current.iter().find(|row| row.key == rows::LEADER)?;
    let found: Leader = serde_json::from_slice(&row.value).ok()?;
    (found == *holder).then_some(row.version)
}
