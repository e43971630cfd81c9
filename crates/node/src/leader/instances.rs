//! Calls instances: orders, and looks that renew their leases.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::runner::Blind;
use adapter::runner::Caller;
use adapter::runner::Lease;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use scheduler::command::Action;
use scheduler::command::Command;
use scheduler::command::Outcome;
use scheduler::command::Refusal;
use scheduler::core::Sent;
use scheduler::instance;
use tracing::info;

use super::Term;
use super::notify::Signal;
use crate::Node;
use crate::clock;

/// How long a look waits for an end: leases are renewed as often.
const LOOK_WAIT: Duration = Duration::from_millis(1_000);

/// Shortest time between two looks, so that one tells more than one end.
const LOOK_GAP: Duration = Duration::from_millis(50);

/// The same for each instance at work: looks of a large site must not take up the processor.
const LOOK_GAP_EACH: Duration = Duration::from_micros(700);

/// Pause after a look that failed.
const RETRY: Duration = Duration::from_millis(250);

/// Longest wait for ends to be stored before the next look, which would tell them again.
const STORE_WAIT: Duration = Duration::from_millis(200);

/// Time after which an instance without work is thought about again, should nobody have said that
/// there is something to look at.
const IDLE: Duration = Duration::from_secs(15);

/// Orders sent to one instance at once.
const SENDERS: usize = 3;

/// Orders that wait for one instance, at most.
const MAX_WAITING: usize = 1_024;

/// The way to one instance.
#[derive(Debug)]
pub(super) struct Port {
    key: instance::Key,
    caller: Caller,
    orders: Sender<Command>,
    /// There is something to look at.
    attention: Signal,
    /// What there is can't wait for an end.
    urgent: Signal,
    /// The store has taken in ends.
    pub(super) stored: Signal,
    failures: Cell<u32>,
}

impl Term {
    /// Opens the ways to instances that are new.
    pub(super) fn ensure_ports(self: &Rc<Self>, node: &Rc<Node>) {
        let core = self.core.borrow();
        let mut ports = self.ports.borrow_mut();
        for (key, runner) in core.instances().skip(ports.len()) {
            // Bounded where orders are sent: room for the most would be taken up at once here.
            let (orders, queue) = async_channel::unbounded();
            let port = Rc::new(Port {
                key,
                caller: Caller::open(&runner.report.id, runner.report.address),
                orders,
                attention: Signal::default(),
                urgent: Signal::default(),
                stored: Signal::default(),
                failures: Cell::new(0),
            });
            ports.push(Rc::clone(&port));
            for _ in 0..SENDERS {
                node.spawn(send(Rc::clone(node), Rc::clone(self), Rc::clone(&port), queue.clone()));
            }
            node.spawn(keep(Rc::clone(node), Rc::clone(self), port));
        }
    }

    /// Wakes those who look at instances, where there is something to see.
    pub(super) fn wake_ports(&self) {
        let core = self.core.borrow();
        for port in self.ports.borrow().iter().filter(|port| core.needs_heartbeat(port.key)) {
            port.attention.set();
        }
    }

    /// Sends out what the scheduler asks of instances.
    pub(super) fn dispatch(&self) {
        let orders = self.core.borrow_mut().take_commands();
        let ports = self.ports.borrow();
        for order in orders {
            let Some(port) = ports.get(u32::from(order.instance) as usize) else { continue };
            if port.orders.len() < MAX_WAITING {
                // Never closed: its receivers live as long as the port.
                let _ = port.orders.try_send(order);
            } else if let Action::Start { .. } = order.action {
                let now = clock::now();
                let (sent, outcome) =
                    (Sent { at: now, token_raises: 0 }, Outcome::Refused(Refusal::NotSent));
                self.core.borrow_mut().apply_start_result(now, &order, sent, outcome, None);
            }
            port.attention.set();
        }
    }

    /// An instance has seen a higher token than went with a call: unless it was our own, a
    /// successor is in office.
    fn fenced(&self, key: instance::Key, sent: Sent) {
        if self.core.borrow().instance(key).token_raises == sent.token_raises {
            self.end("fenced by a successor");
        }
    }

    fn lease(&self, now: Time, key: instance::Key) -> (Lease, Sent) {
        let (token, bump) = self.token(key);
        let may_grant = self.may_grant(now);
        let grant_ms = if may_grant { self.core.borrow_mut().renew_lease(now, key) } else { None };
        (Lease { grant_ms, token }, Sent { at: now, token_raises: bump })
    }
}

async fn send(node: Rc<Node>, reign: Rc<Term>, port: Rc<Port>, queue: Receiver<Command>) {
    while let Ok(order) = queue.recv().await {
        if reign.is_over() {
            return;
        }
        let now = clock::now();
        port.caller.relocate(reign.core.borrow().instance(port.key).report.address);
        let starts = matches!(order.action, Action::Start { .. });
        let (lease, sent) = reign.lease(now, port.key);
        if starts && lease.grant_ms.is_none() {
            // A run without a lease would be refused.
            let outcome = Outcome::Refused(Refusal::NotSent);
            reign.core.borrow_mut().apply_start_result(now, &order, sent, outcome, None);
            continue;
        }
        let answer = port.caller.order(&order, lease).await;
        if reign.is_over() {
            return;
        }
        let now = clock::now();
        node.metrics.command(format!("{:?}", answer.outcome), now.since(sent.at));
        if starts {
            let mut core = reign.core.borrow_mut();
            core.apply_start_result(now, &order, sent, answer.outcome, answer.clock_ms);
        } else {
            log_answer(&order, answer.outcome, now.since(sent.at));
        }
        if answer.outcome == Outcome::Unknown {
            port.urgent.set();
        }
        if answer.outcome == Outcome::Refused(Refusal::Fence) {
            reign.fenced(port.key, sent);
        }
        port.attention.set();
        reign.planning.set();
    }
}

fn log_answer(order: &Command, outcome: Outcome, took: Duration) {
    let event = if matches!(order.action, Action::Stop) { "stop" } else { "pace" };
    info!(event, task = %order.name, run = order.run, outcome = ?outcome, took_ms = took.as_millis());
}

async fn keep(node: Rc<Node>, reign: Rc<Term>, port: Rc<Port>) {
    while !reign.is_over() {
        if !reign.core.borrow().needs_heartbeat(port.key) {
            port.attention.wait_for(IDLE).await;
            continue;
        }
        if ends_unsaved(&reign, port.key) {
            reign.writing.set();
            port.stored.wait_for(STORE_WAIT).await;
        }
        look(&node, &reign, &port).await;
    }
}

/// Whether the instance would tell ends again that the store does not hold yet.
fn ends_unsaved(reign: &Term, key: instance::Key) -> bool {
    let core = reign.core.borrow();
    let runner = core.instance(key);
    runner.last_end_seen > runner.last_end_stored
}

async fn look(node: &Node, reign: &Rc<Term>, port: &Port) {
    let (lease, sent, last_seen, settled) = {
        let now = clock::now();
        let (lease, sent) = reign.lease(now, port.key);
        let core = reign.core.borrow();
        let runner = core.instance(port.key);
        port.caller.relocate(runner.report.address);
        let settled =
            runner.synced && !runner.outcome_unknown && runner.unresponsive_since.is_none();
        (lease, sent, runner.last_end_stored, settled && !runner.tasks.is_empty())
    };
    let wait = if settled { LOOK_WAIT } else { Duration::ZERO };
    let hurry = async {
        port.urgent.wait().await;
        None
    };
    let looking = async { Some(port.caller.look(lease, last_seen, wait).await) };
    let looked = looking.or(hurry).await;
    if reign.is_over() {
        return;
    }
    let now = clock::now();
    node.metrics.heartbeat(matches!(looked, Some(Ok(_))));
    match looked {
        Some(Ok(look)) => {
            port.failures.set(0);
            reign.core.borrow_mut().heartbeat(now, port.key, sent, &look);
            reign.planning.set();
            let busy = reign.core.borrow().busy_instances() as u32;
            let gap = LOOK_GAP.max(LOOK_GAP_EACH * busy);
            let took = now.since(sent.at);
            if took < gap {
                Timer::after(gap - took).await;
            }
        }
        Some(Err(Blind::Fenced)) => {
            reign.fenced(port.key, sent);
            Timer::after(RETRY).await;
        }
        Some(Err(Blind::Failed(error))) => {
            port.failures.set(port.failures.get() + 1);
            reign.core.borrow_mut().mark_unresponsive(now, port.key, &error);
            reign.writing.set();
            Timer::after(RETRY * port.failures.get().min(4)).await;
        }
        None => {}
    }
}
