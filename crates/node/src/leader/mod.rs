//! A node's time in office: it schedules the jobs of all.
//!
//! Decisions are [`scheduler::Core`]'s. Tasks of the reign carry them out: [`commit`] writes to
//! the store, [`keeper`] calls instances, [`lists`] reads lists, [`planner`] lets time pass.

mod commit;
mod discovery;
mod instances;
mod notify;
mod planner;
mod restore;
mod serve;

pub mod hedge;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use async_channel::Sender;
use fleet::time::Time;
use scheduler::Config;
use scheduler::Core;
use scheduler::Tuning;
use scheduler::instance;
use scheduler::job::Id;
use scheduler::job::State;
use scheduler::machine::Wave;
use tracing::info;

use crate::Node;
use crate::clock;
use crate::rows::Leader;
use crate::slowness;
use instances::Port;
use notify::Signal;

/// Longest time without proof of the office for which machines are still called: less than what a
/// successor waits for.
const DUTY_PROOF: Duration = Duration::from_millis(1_000);

/// Longest time that a call to a machine takes from the write that tells of it: proof, and the
/// call's own time limit.
const CALL_TIME: Duration = Duration::from_millis(2_500);

/// Bits of a fencing token that count its raises within one epoch.
const BUMP_BITS: u32 = 20;

/// Time for which a node that was slow leaves the office to others, if there are any.
const REST: Duration = Duration::from_secs(3);

/// Time for which writes may fail before jobs are turned away: two attempts.
const STORE_HICCUP: Duration = Duration::from_millis(100);

/// Time without an answer of the store after which jobs are turned away: a store that answers some
/// sixty times slower than usual still does within it.
const STORE_SILENCE: Duration = Duration::from_millis(1_000);

/// Time without an answer to a write after which tasks start although the store does not know
/// their places: some ten times what a write takes as a rule.
const UNLOGGED: Duration = Duration::from_millis(100);

/// Shortest time in office: what was taken over is to be settled before it changes hands again.
const MIN_REIGN: Duration = Duration::from_millis(500);

/// Longest time that the last write of a reign may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(800);

/// The row that says who is in office, as we wrote it last.
#[derive(Clone, Debug)]
pub struct Record {
    /// What it says.
    pub holder: Leader,
    /// Its version.
    pub version: u64,
}

/// A node's time in office.
#[derive(Debug)]
pub struct Term {
    epoch: u64,
    core: RefCell<Core>,
    office: RefCell<Record>,
    over: Cell<bool>,
    /// Whether a write is under way.
    busy: Cell<bool>,
    /// Whether the last write is being made: what it does not tell of must not start any more.
    leaving: Cell<bool>,
    /// Whether operators are being told about waves.
    telling: Cell<bool>,
    /// Whether all that the store holds has been taken over.
    restored: Cell<bool>,
    /// When the newest write that proved the office was sent.
    proven: Cell<Time>,
    /// Since when the write under way has been under way.
    writing_since: Cell<Option<Time>>,
    /// Since when writes have failed, if the last one did.
    failing_since: Cell<Option<Time>>,
    /// What a write usually takes.
    usual: Cell<hedge::Latency>,
    /// The store's clock in milliseconds, and when it was read.
    store_clock: Cell<(u64, Time)>,
    ports: RefCell<Vec<Rc<Port>>>,
    /// Callers that wait until the store holds a job as it is.
    waiting: RefCell<BTreeMap<Id, Vec<Sender<()>>>>,
    /// Something may have to be placed.
    planning: Signal,
    /// Something may have to be written.
    writing: Signal,
    /// The reign is over.
    ending: Signal,
}

/// Weights and limits that follow from the site's settings.
fn tuning(settings: &Settings) -> Tuning {
    let bounds = settings.bounds;
    let default = Tuning::default();
    Tuning {
        lease: default.lease.min(bounds.max_grant),
        move_time: bounds.move_time,
        maintenance_time: bounds.upkeep_time,
        operation_gap: bounds.duty_gap,
        remote_factor: bounds.far_factor,
        retention: bounds.keep,
        throttle_after: default.throttle_after.min(bounds.harm / 4),
        ..default
    }
}

/// What is known of whoever held the office before.
#[derive(Clone, Copy, Debug)]
pub struct Previous {
    /// For how long it had not written; nothing where it had surely ceased to act.
    pub unwritten_for: Option<Duration>,
    /// Whether its last word covers all that it has started.
    pub all_recorded: bool,
}

/// Reigns until another node does, or this one is to stop.
pub async fn run(node: Rc<Node>, office: Record, proven: Time, former: Previous) {
    let now = clock::now();
    let tuning = tuning(&node.settings());
    let mut core = Core::open(now, tuning);
    core.set_overlap(former.unwritten_for);
    if !former.all_recorded {
        core.expect_unrecorded_starts();
    }
    let reign = Rc::new(Term {
        epoch: office.holder.epoch,
        core: RefCell::new(core),
        office: RefCell::new(office),
        over: Cell::new(false),
        busy: Cell::new(false),
        leaving: Cell::new(false),
        telling: Cell::new(false),
        restored: Cell::new(false),
        proven: Cell::new(proven),
        writing_since: Cell::new(None),
        failing_since: Cell::new(None),
        usual: Cell::default(),
        store_clock: Cell::new((0, now)),
        ports: RefCell::default(),
        waiting: RefCell::default(),
        planning: Signal::default(),
        writing: Signal::default(),
        ending: Signal::default(),
    });
    *node.reign.borrow_mut() = Some(Rc::clone(&reign));
    node.spawn(commit::run(Rc::clone(&node), Rc::clone(&reign)));
    node.spawn(restore::run(Rc::clone(&node), Rc::clone(&reign)));
    reign.ending.wait().await;
    reign.waiting.borrow_mut().clear();
    node.reign.borrow_mut().take_if(|current| Rc::ptr_eq(current, &reign));
    node.announce_step_down();
    info!(event = "reign", state = "over", epoch = reign.epoch);
}

impl Term {
    /// Whether it is over.
    pub fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Whether all that the store holds has been taken over, so that jobs can be taken.
    pub fn is_restored(&self) -> bool {
        self.restored.get()
    }

    fn end(&self, reason: &str) {
        if !self.over.replace(true) {
            info!(event = "reign", state = "ending", epoch = self.epoch, reason);
            self.ending.set();
            self.planning.set();
            self.writing.set();
        }
    }

    /// Number of jobs in a state.
    pub fn count(&self, state: State) -> usize {
        self.core.borrow().count_jobs(state)
    }

    /// Puts a newer configuration in force.
    pub fn configure(&self, config: &Config) {
        if self.core.borrow_mut().configure(config.clone()) {
            self.planning.set();
        }
    }

    /// Takes in what operators ask of waves.
    pub fn set_waves(&self, waves: &[Wave]) {
        if self.restored.get() {
            self.core.borrow_mut().set_waves(clock::now(), waves.to_vec());
        }
    }

    /// The store's clock at `now`, in milliseconds.
    fn store_ms(&self, now: Time) -> u64 {
        let (clock_ms, at) = self.store_clock.get();
        clock_ms + now.since(at).as_millis() as u64
    }

    /// The fencing token for an instance.
    fn token(&self, key: instance::Key) -> (u64, u32) {
        let bump = self.core.borrow().instance(key).token_raises;
        ((self.epoch << BUMP_BITS) + u64::from(bump), bump)
    }

    /// Whether the office was proven so lately that instances may be given leases.
    fn may_grant(&self, now: Time) -> bool {
        let unproven = self.core.borrow().tuning().leader_lease;
        !self.is_over() && now.since(self.proven.get()) < unproven
    }

    /// For how long the write under way has had no answer.
    pub fn stalled(&self, now: Time) -> Duration {
        self.writing_since.get().map_or(Duration::ZERO, |since| now.since(since))
    }

    /// For how long the store has been in trouble, if it is: it fails, or has not answered for so
    /// long that it may not be there. A slow store is none.
    fn store_trouble(&self, now: Time) -> Option<Duration> {
        let failing = self.failing_since.get().map(|since| now.since(since));
        let silent = Some(self.stalled(now)).filter(|&stalled| stalled > STORE_SILENCE);
        failing.filter(|&failing| failing > STORE_HICCUP).or(silent)
    }

    /// Whether the store is so late that tasks should not wait for it.
    fn outruns_store(&self, now: Time) -> bool {
        let late = self.failing_since.get().is_some() || self.stalled(now) > UNLOGGED;
        late && self.restored.get() && !self.leaving.get()
    }

    /// Leaves the office for being slow, unless a node did so lately; whether it has.
    async fn leave_slow(&self, node: &Node) -> bool {
        let now = clock::now();
        let store_ms = self.store_ms(now);
        if self.is_over() || !slowness::may_step_down(self.office.borrow().holder.slow_ms, store_ms)
        {
            return false;
        }
        info!(event = "reign", state = "slow", epoch = self.epoch);
        self.office.borrow_mut().holder.slow_ms = store_ms;
        node.yield_until.set(now + REST);
        commit::leave(node, self, LEAVE_TIMEOUT).await;
        self.end("slow");
        true
    }

    /// Leaves the office to a peer with far more of a core; whether it has.
    ///
    /// Answers large sites, where most machines are too small to schedule for all.
    async fn leave_to_stronger(&self, node: &Node) -> bool {
        let now = clock::now();
        let settled = now.since(self.core.borrow().since()) > MIN_REIGN;
        if self.is_over() || !settled || !node.has_stronger_peer(now) {
            return false;
        }
        info!(event = "reign", state = "weaker", epoch = self.epoch);
        node.yield_until.set(now + REST);
        commit::leave(node, self, LEAVE_TIMEOUT).await;
        self.end("a stronger node is there");
        true
    }

    /// Leaves the office so that another node can take it at once.
    pub async fn step_down(&self, node: &Node) {
        if self.is_over() {
            return;
        }
        commit::leave(node, self, LEAVE_TIMEOUT).await;
        self.end("left");
    }
}
