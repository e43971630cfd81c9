//! Restores the scheduler's state from the store, then starts the other tasks of the term.

use std::rc::Rc;
use std::time::Duration;

use adapter::operator;
use adapter::store::Error;
use adapter::store::Page;
use adapter::store::Row;
use async_io::Timer;
use futures_lite::future::zip;
use scheduler::core::Stored;
use scheduler::core::WaveRow;
use scheduler::job::Id;
use scheduler::job::part;
use scheduler::job::part::Assembly;
use serde::de::DeserializeOwned;
use tracing::info;
use tracing::warn;

use super::MAX_CALL_TIME;
use super::Term;
use super::discovery;
use super::planner;
use super::store_clock::Reading;
use crate::Node;
use crate::budget::Activity;
use crate::clock;
use crate::rows;

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Restores the state, with retries until it succeeds or the term is over.
pub(super) async fn run(node: Rc<Node>, term: Rc<Term>) {
    let began = clock::now();
    while !term.is_over() {
        match restore(&node, &term).await {
            Ok(()) => break,
            Err(error) => {
                warn!(event = "restore", state = "failed", %error);
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
    if term.is_over() {
        return;
    }
    let took_ms = clock::now().since(began).as_millis();
    info!(event = "reign", state = "restored", epoch = term.epoch, took_ms);
    term.set_waves(&node.waves.borrow());
    restore_waves(&node, &term).await;
    term.open_handles(&node);
    node.spawn(Activity::Discover, discovery::run(Rc::clone(&node), Rc::clone(&term)));
    node.spawn(Activity::Plan, planner::run(Rc::clone(&node), Rc::clone(&term)));
}

/// Reads all tables but that of the waves concurrently, and applies their rows to the scheduler.
async fn restore(node: &Node, term: &Term) -> Result<(), Error> {
    let store = &node.store;
    let requested_at = clock::now();
    let bodies = store.rows(rows::BODIES, rows::PARTITION, "");
    let progress = store.rows(rows::PROGRESS, rows::PARTITION, "");
    let operators = store.rows(operator::TABLE, "", "");
    let reports = discovery::reports(node);
    let unresponsive = store.rows(rows::UNRESPONSIVE, rows::PARTITION, "");
    let calls = store.rows(rows::MACHINE_CALLS, rows::PARTITION, "");
    let (((bodies, progress), (operators, reports)), (unresponsive, calls)) =
        zip(zip(zip(bodies, progress), zip(operators, reports)), zip(unresponsive, calls)).await;
    let (bodies, progress, operators, reports) = (bodies?, progress?, operators?, reports?);
    let (unresponsive, calls) = (unresponsive?, calls?);
    for row in &operators.rows {
        if let Ok(Some(operator::Entry::Config(config))) = operator::decode(row) {
            node.configure(config, "store");
        }
    }
    let now = clock::now();
    let rows = progress.rows.iter().map(|row| (row.key.as_str(), row.value.as_slice()));
    let Assembly { progress: states, digests, unreadable } = part::assemble(rows);
    for (key, error) in unreadable {
        warn!(event = "unreadable", table = rows::PROGRESS, key, error);
    }
    let stored =
        Stored { bodies: decode(&bodies), progress: states, digests, clock_ms: progress.clock_ms };
    let reading = Reading { clock_ms: stored.clock_ms, sent: requested_at, received: now };
    term.store_clock.set(reading);
    let mut core = term.core.borrow_mut();
    core.configure((*node.config()).clone());
    core.apply_instances(now, requested_at, reports);
    for row in &unresponsive.rows {
        let Some(expires_ms) = millis(row) else { continue };
        let left = Duration::from_millis(expires_ms.saturating_sub(unresponsive.clock_ms));
        core.restore_expiry(now, &row.key, now + left);
    }
    core.restore(now, clock::unix(), stored);
    let gap = core.tuning().operation_gap + MAX_CALL_TIME;
    for row in &calls.rows {
        let Some(called_ms) = millis(row) else { continue };
        let passed = Duration::from_millis(calls.clock_ms.saturating_sub(called_ms));
        core.hold_machine(&row.key, now + gap - passed);
    }
    Ok(())
}

/// Parses the value of a row that holds a time in milliseconds.
fn millis(row: &Row) -> Option<u64> {
    std::str::from_utf8(&row.value).ok()?.parse().ok()
}

/// Decodes the rows of a table whose keys are job ids. Skips rows with other keys, and logs and
/// skips those whose values can't be decoded.
fn decode<T: DeserializeOwned>(page: &Page) -> std::collections::BTreeMap<Id, T> {
    let rows = page.rows.iter().filter_map(|row| {
        let id: Id = row.key.parse().ok()?;
        match serde_json::from_slice(&row.value) {
            Ok(value) => Some((id, value)),
            Err(error) => {
                warn!(event = "unreadable", table = row.table, key = row.key, %error);
                None
            }
        }
    });
    rows.collect()
}

/// Restores the progress of maintenance waves, with retries until it succeeds or the term is over.
async fn restore_waves(node: &Node, term: &Term) {
    if term.core.borrow().waves().next().is_none() {
        return;
    }
    loop {
        match node.store.rows(rows::WAVES, rows::PARTITION, "").await {
            Ok(page) => {
                for row in page.rows {
                    let Some(number) = WaveRow::parse_key(&row.key) else { continue };
                    match serde_json::from_slice::<rows::Wave>(&row.value) {
                        Ok(wave) => {
                            let mut core = term.core.borrow_mut();
                            core.restore_wave(number, wave.begun, wave.completed);
                        }
                        Err(error) => {
                            warn!(event = "unreadable", table = rows::WAVES, key = row.key, %error);
                        }
                    }
                }
                return;
            }
            Err(error) => {
                warn!(event = "restore", state = "failed", table = rows::WAVES, %error);
                if term.is_over() {
                    return;
                }
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}
