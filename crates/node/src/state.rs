//! State that all parts of a node share.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use adapter::Settings;
use adapter::Store;
use adapter::machine::Machines;
use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use fleet::time::Time;
use http::Budget;
use scheduler::Config;
use scheduler::credential::Confirmation;
use scheduler::credential::Index;
use scheduler::machine::Wave;
use tracing::info;

use crate::budget;
use crate::budget::Activity;
use crate::clock;
use crate::contain::contain;
use crate::leader::Term;
use crate::listener;
use crate::metrics::Metrics;
use crate::rows;
use crate::rpc;
use crate::rpc::message::Reply;
use crate::rpc::message::UNSOLICITED;

/// How many times a leader's share of a core a peer must have for the leader to step down for it.
const STRONGER_FACTOR: f64 = 2.0;

/// Time for which a peer counts as alive after its last ping: three ping intervals.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which this node may have an older configuration than its leader until it asks the leader
/// for a copy: longer than the store takes to deliver it, on a slow link too, and well within the
/// time limit for new configurations to come into force.
const COPY_DELAY: Duration = Duration::from_millis(1_000);

/// State that all parts of a node share.
#[derive(Debug)]
pub struct Node {
    /// The settings of the node and its site.
    pub settings: RefCell<Rc<Settings>>,
    /// The store.
    pub store: Store,
    /// Interface to the machines beneath instances, if the site has one.
    pub machines: Option<Machines>,
    /// The configuration in force on this node.
    pub config: RefCell<Rc<Config>>,
    /// The keys in [`Self::config`].
    key_index: RefCell<Rc<Index>>,
    /// What is known of the age of [`Self::config`].
    pub(crate) confirmation: Cell<Confirmation>,
    /// [`Self::config`] as JSON, and its version.
    encoded_config: RefCell<(u64, Bytes)>,
    /// Whether the last read of the operators' table has succeeded, if there was any.
    pub reads_store: Cell<bool>,
    /// Since when the leader is known to have a newer configuration, unless one has come into force
    /// since.
    behind_since: Cell<Option<Time>>,
    /// Newest version of the configuration that this node has heard of.
    newest_version: Cell<u64>,
    /// Maintenance waves that operators have requested.
    pub waves: RefCell<Vec<Wave>>,
    /// The present term, while this node is the leader.
    pub term: RefCell<Option<Rc<Term>>>,
    /// Connection to the leader, while another node is the leader and can be reached.
    pub leader: RefCell<Option<Rc<rpc::Client>>>,
    /// Whether this node, as the leader, keeps tasks apart that slow each other down.
    pub separate_images: Cell<bool>,
    /// Whether the node is stopping.
    pub stopping: Cell<bool>,
    /// By when a stopping node has to answer its requests.
    answers_until: Cell<Option<Time>>,
    /// Until when this node leaves elections to other nodes, after it stepped down for being slow
    /// or weaker than a peer.
    pub yield_until: Cell<Time>,
    /// Share of a core of the strongest peer within [`PEER_TIMEOUT`], and when it pinged.
    strongest_peer: Cell<(f64, Time)>,
    /// Queues of replies to the nodes that are connected to this one.
    peers: RefCell<Vec<Sender<Reply>>>,
    /// Requests in flight.
    pub requests: Cell<usize>,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Connections of callers, and what they make the process hold.
    pub callers: Budget,
    /// Number of jobs' states that are being read from the store for callers.
    pub store_reads: Cell<usize>,
    executor: Rc<LocalExecutor<'static>>,
    stop: Sender<()>,
    stopped: Receiver<()>,
}

impl Node {
    /// Returns a node of which no part runs yet.
    pub fn open(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let callers = Budget::open(listener::callers(&settings));
        Rc::new(Self {
            store: Store::open(settings.store),
            machines: settings.machines.map(Machines::open),
            settings: RefCell::new(Rc::new(settings)),
            config: RefCell::default(),
            key_index: RefCell::default(),
            confirmation: Cell::default(),
            encoded_config: RefCell::default(),
            reads_store: Cell::new(true),
            behind_since: Cell::new(None),
            newest_version: Cell::new(0),
            waves: RefCell::default(),
            term: RefCell::default(),
            leader: RefCell::default(),
            separate_images: Cell::new(false),
            stopping: Cell::new(false),
            answers_until: Cell::new(None),
            yield_until: Cell::new(Time::ZERO),
            strongest_peer: Cell::new((0.0, Time::ZERO)),
            peers: RefCell::default(),
            requests: Cell::new(0),
            callers,
            store_reads: Cell::new(0),
            metrics: Metrics::default(),
            executor,
            stop,
            stopped,
        })
    }

    /// Runs a task concurrently with the others, as part of an activity.
    pub fn spawn(&self, activity: Activity, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(budget::track(activity, task)).detach();
    }

    /// Runs a task that serves one connection concurrently with the others. If it panics, only that connection ends.
    pub fn spawn_contained(&self, activity: Activity, task: impl Future<Output = ()> + 'static) {
        self.spawn(activity, async move {
            // The panic has been logged.
            let _ = contain(task).await;
        });
    }

    /// Begins the shutdown of all parts. All requests have to be answered by `answers_until`.
    pub fn stop(&self, answers_until: Time) {
        self.stopping.set(true);
        self.answers_until.set(Some(answers_until));
        self.stop.close();
    }

    /// Whether this node leaves elections to other nodes at `now`.
    pub fn is_yielding(&self, now: Time) -> bool {
        now < self.yield_until.get()
    }

    /// Records a peer's share of a core at `now`. Only the strongest peer of the last
    /// [`PEER_TIMEOUT`] is kept.
    pub fn record_peer(&self, share: f64, now: Time) {
        let (strongest, seen) = self.strongest_peer.get();
        if share >= strongest || now.since(seen) > PEER_TIMEOUT {
            self.strongest_peer.set((share, now));
        }
    }

    /// Whether a live peer has a far larger share of a core.
    pub fn has_stronger_peer(&self, now: Time) -> bool {
        let (strongest, seen) = self.strongest_peer.get();
        now.since(seen) <= PEER_TIMEOUT && strongest >= self.settings().cpu_share * STRONGER_FACTOR
    }

    /// Adds a connected node, by its queue of replies.
    pub fn add_peer(&self, replies: Sender<Reply>) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|peer| !peer.is_closed());
        peers.push(replies);
    }

    /// Notifies all connected nodes that this one is no longer the leader.
    pub fn announce_step_down(&self) {
        for peer in self.peers.borrow().iter() {
            // Fails only if the connection of that node has ended.
            let _ = peer.try_send(Reply { id: UNSOLICITED, tell: None });
        }
    }

    /// A channel that closes once the node is stopping.
    pub fn stopped(&self) -> Receiver<()> {
        self.stopped.clone()
    }

    /// Whether the node is about to end, and can't wait for answers of others any more.
    pub fn is_ending(&self) -> bool {
        self.answers_until.get().is_some_and(|until| clock::now() >= until)
    }

    /// Ready once the node is about to end.
    pub async fn ending(&self) {
        // Nothing is sent; the channel closes once the node is stopping.
        let _ = self.stopped().recv().await;
        let until = self.answers_until.get().unwrap_or_default();
        Timer::after(until.since(clock::now())).await;
    }

    /// The settings of the node and its site.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// The configuration in force.
    pub fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// The keys of the configuration in force.
    pub fn key_index(&self) -> Rc<Index> {
        self.key_index.borrow().clone()
    }

    /// The present term, while this node is the leader.
    pub fn term(&self) -> Option<Rc<Term>> {
        self.term.borrow().clone().filter(|term| !term.is_over())
    }

    /// The connection to the leader, if it is open.
    pub fn leader(&self) -> Option<Rc<rpc::Client>> {
        self.leader.borrow().clone().filter(|leader| leader.is_open())
    }

    /// Puts a configuration in force if its version is newer; `source` is for the log.
    pub fn configure(&self, config: Config, source: &'static str) {
        let old = self.config.borrow().version;
        if config.version <= old {
            return;
        }
        info!(
            event = "config",
            version = config.version,
            old,
            source,
            queues = config.queues.len(),
            services = config.services.len(),
        );
        self.behind_since.set(None);
        *self.key_index.borrow_mut() = Rc::new(Index::from(&config));
        let config = Rc::new(config);
        *self.config.borrow_mut() = Rc::clone(&config);
        if let Some(term) = self.term() {
            term.configure(&config);
        }
    }

    /// The configuration in force as JSON, encoded once for all nodes that need a copy.
    pub fn encoded_config(&self) -> Bytes {
        let config = self.config();
        let mut encoded = self.encoded_config.borrow_mut();
        if encoded.0 != config.version {
            *encoded = (config.version, serde_json::to_vec(&*config).unwrap_or_default().into());
        }
        encoded.1.clone()
    }

    /// Records at `now` the version of the configuration in force at the leader.
    pub fn record_peer_config(&self, version: u64, now: Time) {
        self.newest_version.set(self.newest_version.get().max(version));
        let behind = version > self.config.borrow().version;
        self.behind_since.set(behind.then(|| self.behind_since.get().unwrap_or(now)));
    }

    /// Whether a newer configuration is known to exist: the present leader has it, or an earlier one had it.
    pub fn is_behind(&self) -> bool {
        self.newest_version.get() > self.config.borrow().version
    }

    /// Whether this node needs a copy of the leader's configuration if that is newer: it doesn't
    /// reach the store, or the store has not delivered the configuration for [`COPY_DELAY`].
    ///
    /// Handles a large site after a power loss, where all nodes lack the configuration at once: sent
    /// to each of them, a large one would hold up the leader and the nodes' links.
    pub fn needs_config_copy(&self, now: Time) -> bool {
        let behind_since = self.behind_since.get();
        !self.reads_store.get() || behind_since.is_some_and(|since| now.since(since) > COPY_DELAY)
    }

    /// Reads the leader's row from the store. Returns whether the store answered.
    pub async fn reaches_store(&self) -> bool {
        self.store.row(rows::LEADERS, rows::PARTITION, rows::LEADER).await.is_ok()
    }

    /// Whether the platform should direct new connections of callers to this node.
    pub fn is_ready(&self) -> bool {
        let leads = self.term().is_some_and(|term| term.is_restored());
        let served = leads || self.leader().is_some();
        !self.stopping.get() && self.config.borrow().version > 0 && served
    }
}
