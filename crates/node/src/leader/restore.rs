//! Takes over what the store holds, and starts the rest of the reign.

use std::rc::Rc;
use std::time::Duration;

use adapter::operator;
use adapter::store::Error;
use adapter::store::Page;
use adapter::store::Row;
use async_io::Timer;
use futures_lite::future::zip;
use scheduler::core::Stored;
use scheduler::job::Id;
use serde::de::DeserializeOwned;
use tracing::info;
use tracing::warn;

use super::CALL_TIME;
use super::Term;
use super::discovery;
use super::planner;
use crate::Node;
use crate::clock;
use crate::rows;

/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes over, again and again until it works.
pub(super) async fn run(node: Rc<Node>, reign: Rc<Term>) {
    let began = clock::now();
    while !reign.is_over() {
        match take_over(&node, &reign).await {
            Ok(()) => break,
            Err(error) => {
                warn!(event = "restore", state = "failed", %error);
                Timer::after(PAUSE).await;
            }
        }
    }
    if reign.is_over() {
        return;
    }
    let took_ms = clock::now().since(began).as_millis();
    info!(event = "reign", state = "restored", epoch = reign.epoch, took_ms);
    reign.restored.set(true);
    reign.set_waves(&node.waves.borrow());
    restore_waves(&node, &reign).await;
    reign.ensure_ports(&node);
    node.spawn(discovery::run(Rc::clone(&node), Rc::clone(&reign)));
    node.spawn(planner::run(Rc::clone(&node), Rc::clone(&reign)));
}

async fn take_over(node: &Node, reign: &Term) -> Result<(), Error> {
    let store = &node.store;
    let bodies = store.rows(rows::BODIES, rows::PART, "");
    let progress = store.rows(rows::PROGRESS, rows::PART, "");
    let operators = store.rows(operator::TABLE, "", "");
    let reports = discovery::reports(node);
    let silences = store.rows(rows::UNRESPONSIVE, rows::PART, "");
    let calls = store.rows(rows::MACHINE_CALLS, rows::PART, "");
    let (((bodies, progress), (operators, reports)), (silences, calls)) =
        zip(zip(zip(bodies, progress), zip(operators, reports)), zip(silences, calls)).await;
    let (bodies, progress, operators, reports) = (bodies?, progress?, operators?, reports?);
    let (silences, calls) = (silences?, calls?);
    for row in &operators.rows {
        if let Ok(Some(operator::Entry::Config(config))) = operator::decode(row) {
            node.configure(config, "store");
        }
    }
    let now = clock::now();
    let stored = Stored {
        bodies: decode(&bodies),
        clock_ms: progress.clock_ms,
        progress: decode(&progress),
    };
    reign.store_clock.set((stored.clock_ms, now));
    let mut core = reign.core.borrow_mut();
    core.configure((*node.config()).clone());
    core.apply_instances(now, reports);
    for row in &silences.rows {
        let Some(lapses_ms) = millis(row) else { continue };
        let left = Duration::from_millis(lapses_ms.saturating_sub(silences.clock_ms));
        core.restore_expiry(now, &row.key, now + left);
    }
    core.restore(now, clock::unix(), stored);
    let gap = core.tuning().operation_gap + CALL_TIME;
    for row in &calls.rows {
        let Some(called_ms) = millis(row) else { continue };
        let passed = Duration::from_millis(calls.clock_ms.saturating_sub(called_ms));
        if passed < gap {
            core.hold_machine(&row.key, now + (gap - passed));
        }
    }
    Ok(())
}

fn millis(row: &Row) -> Option<u64> {
    std::str::from_utf8(&row.value).ok()?.parse().ok()
}

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

async fn restore_waves(node: &Node, reign: &Term) {
    if reign.core.borrow().waves().next().is_none() {
        return;
    }
    loop {
        match node.store.rows(rows::WAVES, rows::PART, "").await {
            Ok(page) => {
                for row in page.rows {
                    let number = row.key.parse();
                    let wave = serde_json::from_slice::<rows::Wave>(&row.value);
                    if let (Ok(number), Ok(wave)) = (number, wave) {
                        let mut core = reign.core.borrow_mut();
                        core.restore_wave(number, wave.begun, wave.completed);
                    }
                }
                return;
            }
            Err(error) => {
                warn!(event = "restore", state = "failed", table = rows::WAVES, %error);
                if reign.is_over() {
                    return;
                }
                Timer::after(PAUSE).await;
            }
        }
    }
}
