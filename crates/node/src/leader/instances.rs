//! Calls instances: commands, and heartbeats that renew their leases.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use adapter::instance::Client;
use adapter::instance::Error;
use adapter::instance::Lease;
use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use scheduler::Core;
use scheduler::command::Action;
use scheduler::command::Command;
use scheduler::command::Outcome;
use scheduler::command::Refusal;
use scheduler::core::MAX_REMOVAL_DELAY;
use scheduler::core::Sent;
use scheduler::instance;
use tracing::info;

use super::Term;
use super::cadence;
use super::notify::Notify;
use crate::Node;
use crate::budget::Activity;
use crate::clock;

/// Time for which an instance may hold back its answer to a heartbeat until a run ends; leases are
/// renewed at this interval.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(1_000);

/// That time while a suspect runs there, which is cleared once the instance is seen to live on.
const TRIAL_HEARTBEAT_WAIT: Duration = Duration::from_millis(150);

/// Pause after the first failed heartbeat; grows with the number of failures in a row, to at most
/// four times as long.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum wait for ended runs to be stored before the next heartbeat, which would return them
/// again otherwise.
const STORE_WAIT: Duration = Duration::from_millis(200);

/// Interval at which an instance that needs no heartbeat is checked again, in case a notification
/// was missed.
const IDLE_CHECK: Duration = Duration::from_secs(15);

/// Time after which idle connections to a listed instance are closed: longer than the usual pauses
/// between two bursts of a pool.
const MAX_IDLE_AGE: Duration = Duration::from_secs(30);

/// Number of tasks that send commands to one instance; each has at most one command in flight.
const SENDERS: usize = 3;

/// Maximum number of commands that are queued for one instance.
const MAX_QUEUED: usize = 1_024;

/// Client, command queue and notifications of one instance.
#[derive(Debug)]
pub(super) struct Handle {
    key: instance::Key,
    client: Client,
    commands: Sender<Command>,
    /// A heartbeat may be needed.
    heartbeat_due: Notify,
    /// A heartbeat is needed at once; cancels one in flight that waits for a run to end.
    heartbeat_urgent: Notify,
    /// A write to the store was completed, which may have stored ended runs.
    pub(super) ends_stored: Notify,
    /// Heartbeats that failed in a row.
    failures: Cell<u32>,
}

impl Handle {
    /// Closes connections that have long been idle; all idle ones, once the instance needs no calls
    /// any more because it is gone.
    ///
    /// Handles a large site where instances come and go: each connection takes up a file descriptor
    /// until it is closed here, and at their limit no instance can be called.
    fn close_idle(&self, core: &Core) {
        let gone = !core.instance(self.key).listed && !core.needs_heartbeat(clock::now(), self.key);
        let max_age = if gone { Duration::ZERO } else { MAX_IDLE_AGE };
        self.client.close_idle(http::clock::now(), max_age);
    }
}

impl Term {
    /// Opens handles of new instances, and starts the tasks that call them.
    pub(super) fn open_handles(self: &Rc<Self>, node: &Rc<Node>) {
        let core = self.core.borrow();
        let mut handles = self.handles.borrow_mut();
        for (key, instance) in core.instances().skip(handles.len()) {
            // `dispatch` limits the length; a bounded channel would allocate all of its capacity
            // here.
            let (commands, queue) = async_channel::unbounded();
            let handle = Rc::new(Handle {
                key,
                client: Client::open(&instance.report.id, instance.report.address),
                commands,
                heartbeat_due: Notify::default(),
                heartbeat_urgent: Notify::default(),
                ends_stored: Notify::default(),
                failures: Cell::new(0),
            });
            handles.push(Rc::clone(&handle));
            for _ in 0..SENDERS {
                node.spawn(
                    Activity::Command,
                    send_commands(
                        Rc::clone(node),
                        Rc::clone(self),
                        Rc::clone(&handle),
                        queue.clone(),
                    ),
                );
            }
            node.spawn(
                Activity::Heartbeat,
                send_heartbeats(Rc::clone(node), Rc::clone(self), handle),
            );
        }
    }

    /// Wakes the heartbeat tasks of the instances that need a heartbeat.
    pub(super) fn wake_handles(&self) {
        let core = self.core.borrow();
        let now = clock::now();
        let handles = self.handles.borrow();
        for handle in handles.iter().filter(|handle| core.needs_heartbeat(now, handle.key)) {
            handle.heartbeat_due.notify();
        }
    }

    /// Wakes the heartbeat tasks of the instances on which tasks were placed although they had not answered
    /// lately.
    pub(super) fn wake_unseen(&self) {
        let unseen = self.core.borrow_mut().take_unseen();
        let handles = self.handles.borrow();
        for handle in unseen.into_iter().filter_map(|key| handles.get(u32::from(key) as usize)) {
            handle.heartbeat_due.notify();
        }
    }

    /// Queues the scheduler's commands to instances. Commands beyond [`MAX_QUEUED`] are dropped;
    /// starts among them count as refused.
    pub(super) fn dispatch(&self) {
        let commands = self.core.borrow_mut().take_commands();
        let handles = self.handles.borrow();
        for command in commands {
            let Some(handle) = handles.get(u32::from(command.instance) as usize) else { continue };
            if handle.commands.len() < MAX_QUEUED {
                // Fails only after the end of the term, until which the receivers live.
                let _ = handle.commands.try_send(command);
            } else if let Action::Start { .. } = command.action {
                let now = clock::now();
                let (sent, outcome) =
                    (Sent { at: now, token_raises: 0 }, Outcome::Refused(Refusal::NotSent));
                self.core.borrow_mut().apply_start_result(now, &command, sent, outcome, None);
            }
            handle.heartbeat_due.notify();
        }
    }

    /// Handles a call that an instance has refused because it has seen a higher fencing token.
    /// Ends the term, since another node is the leader, unless this leader has raised the token
    /// itself since the call was sent.
    fn handle_fenced(&self, key: instance::Key, sent: Sent) {
        if self.core.borrow().instance(key).token_raises == sent.token_raises {
            self.end("an instance has seen a higher fencing token");
        }
    }

    /// Grants an instance the lease that `lease` returns, if leadership was proven recently enough. Returns
    /// the lease and fencing token to send with a call, and the details of the call that the scheduler needs
    /// along with the answer.
    fn lease(
        &self,
        now: Time,
        key: instance::Key,
        lease: impl FnOnce(&mut Core, Time, instance::Key) -> Option<u64>,
    ) -> (Lease, Sent) {
        let (token, token_raises) = self.token(key);
        let may_lease = self.may_lease(now);
        let until_ms = if may_lease { lease(&mut self.core.borrow_mut(), now, key) } else { None };
        (Lease { until_ms, token }, Sent { at: now, token_raises })
    }
}

impl Handle {
    /// Number of commands that wait to be sent.
    pub(super) fn queued_commands(&self) -> usize {
        self.commands.len()
    }
}

/// Sends queued commands to an instance until the term is over.
async fn send_commands(
    node: Rc<Node>,
    term: Rc<Term>,
    handle: Rc<Handle>,
    queue: Receiver<Command>,
) {
    while let Ok(command) = queue.recv().await {
        if term.is_over() {
            return;
        }
        let now = clock::now();
        handle.client.relocate(term.core.borrow().instance(handle.key).report.address);
        let starts = matches!(command.action, Action::Start { .. });
        if starts && !term.core.borrow_mut().confirm_start(now, &command) {
            term.planner.notify();
            continue;
        }
        let (lease, sent) = if starts {
            term.lease(now, handle.key, Core::renew_lease)
        } else {
            term.lease(now, handle.key, |_, _, _| None)
        };
        if starts && lease.until_ms.is_none() {
            // The instance would refuse to start a run without a lease.
            let outcome = Outcome::Refused(Refusal::NotSent);
            term.core.borrow_mut().apply_start_result(now, &command, sent, outcome, None);
            continue;
        }
        let answer = handle.client.send(&command, lease).await;
        if term.is_over() {
            return;
        }
        let now = clock::now();
        node.metrics.command(format!("{:?}", answer.outcome), now.since(sent.at));
        if starts {
            let mut core = term.core.borrow_mut();
            core.apply_start_result(now, &command, sent, answer.outcome, answer.clock_ms);
        } else {
            log_outcome(&command, answer.outcome, now.since(sent.at));
        }
        // A heartbeat with the raised token shows what became of a start. Other commands must not keep
        // heartbeats from being answered, or from failing.
        if starts && answer.outcome.needs_heartbeat() {
            handle.heartbeat_urgent.notify();
        }
        if answer.outcome == Outcome::Refused(Refusal::Fence) {
            term.handle_fenced(handle.key, sent);
        }
        handle.heartbeat_due.notify();
        term.planner.notify();
    }
}

fn log_outcome(command: &Command, outcome: Outcome, took: Duration) {
    let event = if matches!(command.action, Action::Stop) { "stop" } else { "pace" };
    info!(event, task = %command.name, run = command.run, outcome = ?outcome, took_ms = took.as_millis());
}

/// Sends heartbeats to an instance, whenever it needs them, until the term is over.
async fn send_heartbeats(node: Rc<Node>, term: Rc<Term>, handle: Rc<Handle>) {
    while !term.is_over() {
        handle.close_idle(&term.core.borrow());
        if !term.core.borrow().needs_heartbeat(clock::now(), handle.key) {
            let awaits_removal =
                term.core.borrow().instance(handle.key).listed_ends.await_removal();
            let pause = if awaits_removal { MAX_REMOVAL_DELAY } else { IDLE_CHECK };
            handle.heartbeat_due.wait_timeout(pause).await;
            continue;
        }
        if has_unstored_ends(&term, handle.key) {
            term.writer.notify();
            handle.ends_stored.wait_timeout(STORE_WAIT).await;
        }
        heartbeat(&node, &term, &handle).await;
    }
}

/// Whether the next heartbeat would return ended runs again because the store doesn't hold them
/// yet.
fn has_unstored_ends(term: &Term, key: instance::Key) -> bool {
    let core = term.core.borrow();
    let instance = core.instance(key);
    instance.last_end_seen > instance.last_end_stored
}

/// Sends one heartbeat to an instance and applies the answer.
async fn heartbeat(node: &Node, term: &Rc<Term>, handle: &Handle) {
    let (lease, sent, last_end_stored, wait) = {
        let now = clock::now();
        let (lease, sent) = term.lease(now, handle.key, Core::heartbeat_lease);
        let core = term.core.borrow();
        let instance = core.instance(handle.key);
        handle.client.relocate(instance.report.address);
        let state_known =
            instance.synced && !instance.outcome_unknown && instance.unresponsive_since.is_none();
        let may_wait = state_known && instance.is_seen(now);
        let wait = match may_wait && !instance.tasks.is_empty() {
            true if instance.trials.is_empty() => HEARTBEAT_WAIT,
            true => TRIAL_HEARTBEAT_WAIT,
            false => Duration::ZERO,
        };
        (lease, sent, instance.last_end_stored, wait)
    };
    let interrupted = async {
        handle.heartbeat_urgent.wait().await;
        None
    };
    let answered = async { Some(handle.client.heartbeat(lease, last_end_stored, wait).await) };
    let result = answered.or(interrupted).await;
    if term.is_over() {
        return;
    }
    let now = clock::now();
    node.metrics.heartbeat(matches!(result, Some(Ok(_))));
    match result {
        Some(Ok(heartbeat)) => {
            handle.failures.set(0);
            term.core.borrow_mut().heartbeat(now, handle.key, sent, &heartbeat);
            term.planner.notify();
            let interval = cadence::min_interval(&term.core.borrow(), node.settings().cpu_share);
            let took = now.since(sent.at);
            if took < interval {
                term.pacer.pause(interval - took).await;
            }
        }
        Some(Err(Error::Fenced)) => {
            term.handle_fenced(handle.key, sent);
            Timer::after(RETRY_DELAY).await;
        }
        Some(Err(Error::Failed(error))) => {
            handle.failures.set(handle.failures.get() + 1);
            term.core.borrow_mut().mark_unresponsive(now, handle.key, &error);
            term.writer.notify();
            Timer::after(RETRY_DELAY * handle.failures.get().min(4)).await;
        }
        None => {}
    }
}
