//! The leader's term, in which it schedules the jobs of all nodes.
//!
//! [`scheduler::Core`] makes the decisions. Tasks of the term carry them out: [`commit`] writes to
//! the store, [`instances`] calls instances, [`discovery`] reads the lists of instances and
//! machines, and [`planner`] runs the scheduling loop.

mod commit;
mod discovery;
mod instances;
mod notify;
mod pacer;
mod planner;
mod restore;
mod serve;

pub mod cadence;
pub mod hedge;
pub mod store_clock;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use async_channel::Sender;
use fleet::time::Time;
use futures_lite::FutureExt;
use scheduler::Config;
use scheduler::Core;
use scheduler::Tuning;
use scheduler::core::Beyond;
use scheduler::core::Handover;
use scheduler::core::Waits;
use scheduler::instance;
use scheduler::job::Id;
use scheduler::job::State;
use scheduler::machine::Wave;
use tracing::info;

pub use serve::Decision;
pub use serve::Waiter;

use crate::Node;
use crate::budget::Activity;
use crate::clock;
use crate::election::ELECTION_TIMEOUT;
use crate::listener;
use crate::rows::Leader;
use crate::slowness;
use instances::Handle;
use notify::Notify;
use pacer::Pacer;

/// Time after the last proof of leadership during which machines are still called: less than the
/// next leader waits before it calls them.
const MACHINE_CALL_LEASE: Duration = Duration::from_millis(1_000);

/// Maximum time from the write that records a call to a machine to the end of the call:
/// [`MACHINE_CALL_LEASE`] plus the call's own timeout.
const MAX_CALL_TIME: Duration = Duration::from_millis(2_500);

/// Low bits of a fencing token, which count the raises of the token within one epoch.
const TOKEN_RAISE_BITS: u32 = 20;

/// Time for which a node that stepped down for being slow or weaker leaves elections to other
/// nodes, if there are any.
const YIELD_TIME: Duration = Duration::from_secs(3);

/// Time for which writes may fail before new jobs are refused: long enough for two attempts.
const STORE_FAILURE_GRACE: Duration = Duration::from_millis(100);

/// Time without an answer of the store after which new jobs are refused: a store that is some sixty
/// times slower than usual still answers within it.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without an answer to a write after which tasks start although the store has no record of
/// their placement: some ten times the usual latency of a write.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(100);

/// Minimum length of a term before the leader steps down for a stronger peer: jobs that were taken
/// over should be settled before leadership changes again.
const MIN_TERM: Duration = Duration::from_millis(500);

/// Maximum duration of the last write of a term.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(800);

/// The leader's row as this node wrote it last.
#[derive(Clone, Debug)]
pub struct Record {
    /// Contents of the row.
    pub leader: Leader,
    /// Version of the row in the store.
    pub version: u64,
}

/// The time during which this node is the leader.
#[derive(Debug)]
pub struct Term {
    epoch: u64,
    core: RefCell<Core>,
    record: RefCell<Record>,
    over: Cell<bool>,
    /// Whether a write is in flight.
    writing: Cell<bool>,
    /// Whether the last write of the term has begun: tasks whose placement that write does not
    /// record must not start any more.
    stepping_down: Cell<bool>,
    /// Whether the state of waves is being reported to operators.
    reporting_waves: Cell<bool>,
    /// When the newest write that proved leadership was sent.
    proven_at: Cell<Time>,
    /// When the oldest write that has not succeeded yet was begun, if there is any.
    unwritten_since: Cell<Option<Time>>,
    /// Since when writes have failed, if the last one did.
    failing_since: Cell<Option<Time>>,
    /// Usual latency of a write.
    write_latency: Cell<hedge::Latency>,
    /// The newest reading of the store's clock.
    store_clock: Cell<store_clock::Reading>,
    /// Handles of all instances, indexed by the instance's key.
    handles: RefCell<Vec<Rc<Handle>>>,
    /// Callers that wait until the store holds the present state of a job.
    save_waiters: RefCell<BTreeMap<Id, Vec<Sender<()>>>>,
    /// Pauses between heartbeats.
    pacer: Pacer,
    /// Wakes the scheduling loop: there may be tasks to place.
    planner: Notify,
    /// Wakes the task that writes to the store: there may be changes to store.
    writer: Notify,
    /// Wakes [`run`] at the end of the term.
    end_of_term: Notify,
}

/// The scheduler's weights and limits for the site's settings.
fn tuning(settings: &Settings) -> Tuning {
    let parameters = settings.parameters;
    let default = Tuning::default();
    Tuning {
        lease: default.lease.min(parameters.max_lease),
        max_lease: parameters.max_lease,
        move_time: parameters.move_time,
        maintenance_time: parameters.maintenance_time,
        operation_gap: parameters.operation_gap,
        remote_factor: parameters.remote_factor,
        retention: parameters.retention,
        unthrottle_interval: default.unthrottle_interval.min(parameters.breach_tolerance / 4),
        max_list_age: parameters.contact,
        max_row_bytes: settings.max_row_bytes,
        max_job_memory: listener::job_memory(settings),
        ..default
    }
}

/// Lengths of the leader's queues of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Queues {
    /// Tasks of accepted jobs that are not placed, those of long-running and repeated jobs apart.
    pub unplaced: usize,
    /// Jobs with changes that the store lacks.
    pub unwritten: usize,
    /// Commands that no call to an instance carries yet.
    pub unsent: usize,
}

/// Facts about the previous leader that the next one needs.
#[derive(Clone, Copy, Debug)]
pub struct Previous {
    /// For how long the previous leader had not written; none if it has certainly ceased to act.
    pub unwritten_for: Option<Duration>,
    /// What else it left uncertain.
    pub handover: Handover,
}

/// Runs a term until another node becomes the leader or this one steps down.
///
/// `record` is the leader's row that this node has written, by a call that was sent at `proven_at`.
pub async fn run(node: Rc<Node>, record: Record, proven_at: Time, previous: Previous) {
    let now = clock::now();
    let separate_images = node.separate_images.get();
    let tuning = Tuning { separate_images, ..tuning(&node.settings()) };
    let mut core = Core::open(now, tuning);
    core.set_overlap(previous.unwritten_for);
    core.inherit(previous.handover);
    let term = Rc::new(Term {
        epoch: record.leader.epoch,
        core: RefCell::new(core),
        record: RefCell::new(record),
        over: Cell::new(false),
        writing: Cell::new(false),
        stepping_down: Cell::new(false),
        reporting_waves: Cell::new(false),
        proven_at: Cell::new(proven_at),
        unwritten_since: Cell::new(None),
        failing_since: Cell::new(None),
        write_latency: Cell::default(),
        store_clock: Cell::new(store_clock::Reading { clock_ms: 0, sent: now, received: now }),
        handles: RefCell::default(),
        save_waiters: RefCell::default(),
        pacer: Pacer::default(),
        planner: Notify::default(),
        writer: Notify::default(),
        end_of_term: Notify::default(),
    });
    *node.term.borrow_mut() = Some(Rc::clone(&term));
    node.spawn(Activity::Write, commit::run(Rc::clone(&node), Rc::clone(&term)));
    node.spawn(Activity::Other, restore::run(Rc::clone(&node), Rc::clone(&term)));
    if node.stopping.get() {
        // The signal came during the campaign, so that it met no term to end.
        term.step_down(&node).await;
    }
    let pacing = async {
        term.pacer.run().await;
    };
    term.end_of_term.wait().or(pacing).await;
    term.pacer.clear();
    term.save_waiters.borrow_mut().clear();
    node.term.borrow_mut().take_if(|current| Rc::ptr_eq(current, &term));
    node.announce_step_down();
    info!(event = "reign", state = "over", epoch = term.epoch);
}

impl Term {
    /// Whether the term has ended.
    pub fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Whether the scheduler's state has been restored from the store, so that jobs can be
    /// accepted.
    pub fn is_restored(&self) -> bool {
        self.core.borrow().is_restored()
    }

    fn end(&self, reason: &str) {
        if !self.over.replace(true) {
            info!(event = "reign", state = "ending", epoch = self.epoch, reason);
            self.end_of_term.notify();
            self.planner.notify();
            self.writer.notify();
        }
    }

    /// Number of jobs in a state.
    pub fn count(&self, state: State) -> usize {
        self.core.borrow().count_jobs(state)
    }

    /// Time for which the task of each kind that has waited longest has been ready.
    pub fn longest_waits(&self) -> Waits {
        self.core.borrow().longest_waits()
    }

    /// Number of instances that are suspended or on probation.
    pub fn suspended_instances(&self) -> usize {
        self.core.borrow().suspended_instances()
    }

    /// Number of instances on which tasks take longer than elsewhere.
    pub fn slow_instances(&self) -> usize {
        self.core.borrow().slow_instances(clock::now())
    }

    /// Number of tasks that were taken back because their instances had shrunk.
    pub fn taken_back(&self) -> u64 {
        self.core.borrow().taken_back()
    }

    /// Number of pairs of images that are kept apart since one slows the other down.
    pub fn separated_images(&self) -> usize {
        self.core.borrow().interference().apart()
    }

    /// Number of tenants whose caps hold tasks back, and the share of its cap that each tenant may be using, the
    /// highest first.
    pub fn quotas(&self) -> (usize, Vec<f64>) {
        let core = self.core.borrow();
        (core.held_back_tenants(), core.cap_shares(clock::now()))
    }

    /// Numbers of jobs beyond the rates of their tenants in this term.
    pub fn beyond_rates(&self) -> Beyond {
        self.core.borrow().beyond_rates()
    }

    /// Number of instances that have crashed with tasks in this term, and of tasks that are suspected
    /// of crashing instances.
    pub fn crashes(&self) -> (u64, usize) {
        let core = self.core.borrow();
        (core.crashes(), core.suspects())
    }

    /// Lengths of the queues of work.
    pub fn queues(&self) -> Queues {
        let core = self.core.borrow();
        let handles = self.handles.borrow();
        let unsent = handles.iter().map(|handle| handle.queued_commands()).sum();
        Queues { unplaced: core.unstarted_tasks(), unwritten: core.unwritten_jobs(), unsent }
    }

    /// Puts a newer configuration in force.
    pub fn configure(&self, config: &Config) {
        if self.core.borrow_mut().configure(config.clone()) {
            self.planner.notify();
        }
    }

    /// Applies the maintenance waves that operators have requested. Before the restore has finished
    /// this does nothing: the restore applies them itself.
    pub fn set_waves(&self, waves: &[Wave]) {
        if self.is_restored() {
            self.core.borrow_mut().set_waves(clock::now(), waves.to_vec());
        }
    }

    /// The fencing token for an instance, and its number of raises within this epoch.
    fn token(&self, key: instance::Key) -> (u64, u32) {
        let raises = self.core.borrow().instance(key).token_raises;
        ((self.epoch << TOKEN_RAISE_BITS) + u64::from(raises), raises)
    }

    /// Whether leadership was proven recently enough to grant leases to instances.
    fn may_lease(&self, now: Time) -> bool {
        let leader_lease = self.core.borrow().tuning().leader_lease;
        !self.is_over() && now.since(self.proven_at.get()) < leader_lease
    }

    /// Whether no other node can have become the leader by now: leadership was proven within the election
    /// timeout, and this node doesn't step down.
    fn is_only_leader(&self, now: Time) -> bool {
        let proven = now.since(self.proven_at.get()) < ELECTION_TIMEOUT;
        proven && !self.is_over() && !self.stepping_down.get()
    }

    /// For how long the store has not completed the pending write; zero if there is none.
    pub fn write_stall(&self, now: Time) -> Duration {
        self.unwritten_since.get().map_or(Duration::ZERO, |since| now.since(since))
    }

    /// For how long the store has been unavailable, if it is: its writes fail, or it has not
    /// answered for longer than [`STORE_TIMEOUT`]. A slow store counts as available.
    fn store_outage(&self, now: Time) -> Option<Duration> {
        let failing = self.failing_since.get().map(|since| now.since(since));
        let unanswered = Some(self.write_stall(now)).filter(|&stall| stall > STORE_TIMEOUT);
        failing.filter(|&failing| failing > STORE_FAILURE_GRACE).or(unanswered)
    }

    /// Whether the store is so late that tasks should start without a record of their placement.
    fn may_start_unrecorded(&self, now: Time) -> bool {
        let late = self.failing_since.get().is_some() || self.write_stall(now) > MAX_RECORD_WAIT;
        late && self.is_restored() && !self.stepping_down.get()
    }

    /// Steps down for being slow, unless a leader did so recently. Returns whether this leader
    /// has stepped down.
    async fn step_down_slow(&self, node: &Node) -> bool {
        let now = clock::now();
        let store_ms = self.store_clock.get().earliest_ms(now);
        if self.is_over() || !slowness::may_step_down(self.record.borrow().leader.slow_ms, store_ms)
        {
            return false;
        }
        info!(event = "reign", state = "slow", epoch = self.epoch);
        self.record.borrow_mut().leader.slow_ms = store_ms;
        node.yield_until.set(now + YIELD_TIME);
        commit::step_down(node, self, STEP_DOWN_TIMEOUT).await;
        self.end("slow");
        true
    }

    /// Steps down if a peer has a far larger share of a core. Returns whether this leader has
    /// stepped down.
    ///
    /// Handles large sites, where most nodes have too small a share of a core to schedule the jobs
    /// of all.
    async fn step_down_for_stronger(&self, node: &Node) -> bool {
        let now = clock::now();
        let settled = now.since(self.core.borrow().since()) > MIN_TERM;
        if self.is_over() || !settled || !node.has_stronger_peer(now) {
            return false;
        }
        info!(event = "reign", state = "weaker", epoch = self.epoch);
        node.yield_until.set(now + YIELD_TIME);
        commit::step_down(node, self, STEP_DOWN_TIMEOUT).await;
        self.end("a stronger node is available");
        true
    }

    /// Steps down, so that another node can become the leader at once.
    pub async fn step_down(&self, node: &Node) {
        if self.is_over() {
            return;
        }
        commit::step_down(node, self, STEP_DOWN_TIMEOUT).await;
        self.end("left");
    }
}
