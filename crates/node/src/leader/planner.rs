//! The scheduling loop: ticks the scheduler, places tasks, and sends out its decisions.

use std::rc::Rc;
use std::time::Duration;

use adapter::operator;
use adapter::store::Error;
use adapter::store::Transaction;
use async_io::Timer;
use fleet::time::Time;
use tracing::info;

use super::MACHINE_CALL_LEASE;
use super::Term;
use crate::Node;
use crate::budget::Activity;
use crate::budget::Span;
use crate::clock;
use crate::slowness::Detector;

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// Minimum pause between two rounds of the loop, so that each handles more than one event.
const MIN_PAUSE: Duration = Duration::from_millis(4);

/// Pause after a round as a multiple of its duration: leaves most of the processor to calls.
const PAUSE_FACTOR: u32 = 5;

/// Maximum pause between two rounds.
const MAX_PAUSE: Duration = Duration::from_millis(80);

/// Runs the scheduling loop until the term is over.
pub(super) async fn run(node: Rc<Node>, term: Rc<Term>) {
    let mut last_tick = Time::ZERO;
    let mut detector = Detector::default();
    while !term.is_over() {
        let now = clock::now();
        if now.since(last_tick) >= TICK {
            last_tick = now;
            if detector.observe_tick(now) && term.step_down_slow(&node).await {
                return;
            }
            if term.step_down_for_stronger(&node).await {
                return;
            }
            {
                let _span = Span::enter(Activity::Tick, now);
                term.core.borrow_mut().tick(now);
            }
            call_machines(&node, &term, now);
            report_waves(&node, &term);
        }
        {
            let _span = Span::enter(Activity::Place, clock::now());
            term.core.borrow_mut().place_tasks(now);
        }
        term.wake_unseen();
        if term.may_start_unrecorded(now) {
            term.core.borrow_mut().release_unrecorded(now);
        }
        term.dispatch();
        if term.core.borrow().is_dirty(now) {
            term.writer.notify();
        }
        let took = clock::now().since(now);
        Timer::after((took * PAUSE_FACTOR).clamp(MIN_PAUSE, MAX_PAUSE)).await;
        term.planner.wait_timeout(TICK).await;
    }
}

/// Sends the machine operations that are due, if leadership was proven recently enough.
fn call_machines(node: &Rc<Node>, term: &Rc<Term>, now: Time) {
    if now.since(term.proven_at.get()) > MACHINE_CALL_LEASE || node.machines.is_none() {
        return;
    }
    for call in term.core.borrow_mut().machine_calls(now) {
        let (node, term) = (Rc::clone(node), Rc::clone(term));
        let spawner = Rc::clone(&node);
        spawner.spawn(Activity::Plan, async move {
            let Some(machines) = &node.machines else { return };
            let caller = node.settings().node.clone();
            let outcome = machines.call(&call.operation, &caller, term.epoch).await;
            term.core.borrow_mut().apply_operation_result(clock::now(), &call.operation, outcome);
            term.planner.notify();
        });
    }
}

/// Reports the state of waves to operators where it has changed since the last report.
fn report_waves(node: &Rc<Node>, term: &Rc<Term>) {
    let core = term.core.borrow();
    let unreported = core.waves().filter(|wave| !wave.reported);
    let unreported: Vec<(u64, bool)> =
        unreported.map(|wave| (wave.wave.number, wave.completed)).collect();
    drop(core);
    if unreported.is_empty() || term.reporting_waves.replace(true) {
        return;
    }
    let (node, term) = (Rc::clone(node), Rc::clone(term));
    let spawner = Rc::clone(&node);
    spawner.spawn(Activity::Plan, async move {
        for (number, completed) in unreported {
            report_wave(&node, &term, number, completed).await;
        }
        term.reporting_waves.set(false);
    });
}

async fn report_wave(node: &Node, term: &Term, number: u64, completed: bool) {
    let (key, value) = operator::wave_status(number, completed);
    let table = operator::STATUS_TABLE;
    let current = match node.store.row(table, "", &key).await {
        Ok(current) => current,
        Err(error) => {
            info!(event = "wave", wave = number, state = "untold", %error);
            return;
        }
    };
    let version = current.map_or(0, |row| row.version);
    let transaction = Transaction {
        partition: String::new(),
        conditions: vec![(table, key.clone(), version)],
        puts: vec![(table, key, value)],
        deletes: Vec::new(),
    };
    if term.is_over() {
        return;
    }
    match node.store.transact(&transaction).await {
        Ok(_) => {
            info!(event = "wave", wave = number, state = "told", completed);
            let mut core = term.core.borrow_mut();
            let changed =
                core.waves().any(|wave| wave.wave.number == number && wave.completed != completed);
            if !changed {
                core.wave_reported(number);
            }
        }
        Err(Error::Conflict(_)) => {}
        Err(error) => info!(event = "wave", wave = number, state = "untold", %error),
    }
}
