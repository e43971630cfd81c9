//! Lets time pass for the scheduler, and sends out what it decides.

use std::rc::Rc;
use std::time::Duration;

use adapter::operator;
use adapter::store::Error;
use adapter::store::Transaction;
use async_io::Timer;
use fleet::time::Time;
use tracing::info;

use super::DUTY_PROOF;
use super::Term;
use crate::Node;
use crate::clock;
use crate::slowness::Detector;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);

/// Shortest pause between two plans, so that each sees more than one event.
const PAUSE: Duration = Duration::from_millis(4);

/// Pause after a plan as a multiple of what it took: leaves most of the processor to calls.
const SHARE: u32 = 5;

/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_millis(40);

/// Plans until the reign is over.
pub(super) async fn run(node: Rc<Node>, reign: Rc<Term>) {
    let mut ticked = Time::ZERO;
    let mut pulse = Detector::default();
    while !reign.is_over() {
        let now = clock::now();
        if now.since(ticked) >= TICK {
            ticked = now;
            if pulse.observe_tick(now) && reign.leave_slow(&node).await {
                return;
            }
            if reign.leave_to_stronger(&node).await {
                return;
            }
            reign.core.borrow_mut().tick(now);
            call_machines(&node, &reign, now);
            tell_waves(&node, &reign);
        }
        reign.core.borrow_mut().place_tasks(now);
        if reign.outruns_store(now) {
            reign.core.borrow_mut().release_unrecorded(now);
        }
        reign.dispatch();
        if reign.core.borrow().is_dirty(now) {
            reign.writing.set();
        }
        let took = clock::now().since(now);
        Timer::after((took * SHARE).clamp(PAUSE, MAX_PAUSE)).await;
        reign.planning.wait_for(TICK).await;
    }
}

fn call_machines(node: &Rc<Node>, reign: &Rc<Term>, now: Time) {
    if now.since(reign.proven.get()) > DUTY_PROOF || node.machines.is_none() {
        return;
    }
    for call in reign.core.borrow_mut().machine_calls(now) {
        let (node, reign) = (Rc::clone(node), Rc::clone(reign));
        let task = Rc::clone(&node);
        task.spawn(async move {
            let Some(machines) = &node.machines else { return };
            let holder = node.settings().node.clone();
            let outcome = machines.call(&call.operation, &holder, reign.epoch).await;
            reign.core.borrow_mut().apply_operation_result(clock::now(), &call.operation, outcome);
            reign.planning.set();
        });
    }
}

/// Tells operators how waves stand, where they do not know yet.
fn tell_waves(node: &Rc<Node>, reign: &Rc<Term>) {
    let core = reign.core.borrow();
    let untold = core.waves().filter(|wave| !wave.reported);
    let untold: Vec<(u64, bool)> = untold.map(|wave| (wave.wave.number, wave.completed)).collect();
    drop(core);
    if untold.is_empty() || reign.telling.replace(true) {
        return;
    }
    let (node, reign) = (Rc::clone(node), Rc::clone(reign));
    let task = Rc::clone(&node);
    task.spawn(async move {
        for (number, completed) in untold {
            tell_wave(&node, &reign, number, completed).await;
        }
        reign.telling.set(false);
    });
}

async fn tell_wave(node: &Node, reign: &Term, number: u64, completed: bool) {
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
        part: String::new(),
        conditions: vec![(table, key.clone(), version)],
        puts: vec![(table, key, value)],
        drops: Vec::new(),
    };
    if reign.is_over() {
        return;
    }
    match node.store.transact(&transaction).await {
        Ok(_) => {
            info!(event = "wave", wave = number, state = "told", completed);
            let mut core = reign.core.borrow_mut();
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
