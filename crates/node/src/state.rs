//! What all parts of a node share.

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
use fleet::time::Time;
use scheduler::Config;
use scheduler::machine::Wave;
use tracing::info;

use crate::leader::Term;
use crate::metrics::Metrics;
use crate::rows;
use crate::rpc;
use crate::rpc::message::Reply;
use crate::rpc::message::UNSOLICITED;

/// How many times the share of a core a peer must have to be left the office.
const STRONGER: f64 = 2.0;

/// Time for which a peer counts as there after it was heard of: three of its signs of life.
const PEER_MEMORY: Duration = Duration::from_millis(1_000);

/// What all parts of a node share.
#[derive(Debug)]
pub struct Node {
    /// What it knows of itself and its site.
    pub settings: RefCell<Rc<Settings>>,
    /// The store.
    pub store: Store,
    /// Machines beneath instances.
    pub machines: Option<Machines>,
    /// The configuration in force here.
    pub config: RefCell<Rc<Config>>,
    /// Waves that operators have asked for.
    pub waves: RefCell<Vec<Wave>>,
    /// Its time in office, while it has one.
    pub reign: RefCell<Option<Rc<Term>>>,
    /// Its connection to the node in office, while there is one.
    pub link: RefCell<Option<Rc<rpc::Client>>>,
    /// Whether it has been told to stop.
    pub stopping: Cell<bool>,
    /// Until when it leaves the office to others, after it was slow.
    pub yield_until: Cell<Time>,
    /// Share of a core of the strongest peer that was heard of lately, and when.
    strongest_peer: Cell<(f64, Time)>,
    /// To nodes that are linked to this one.
    peers: RefCell<Vec<Sender<Reply>>>,
    /// Requests under way.
    pub requests: Cell<usize>,
    /// Counters and latency histograms.
    pub metrics: Metrics,
    /// Connections of callers.
    pub connections: Cell<usize>,
    executor: Rc<LocalExecutor<'static>>,
    stop: Sender<()>,
    stopped: Receiver<()>,
}

impl Node {
    /// A node that does nothing yet.
    pub fn open(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        Rc::new(Self {
            store: Store::open(settings.store),
            machines: settings.machines.map(Machines::open),
            settings: RefCell::new(Rc::new(settings)),
            config: RefCell::default(),
            waves: RefCell::default(),
            reign: RefCell::default(),
            link: RefCell::default(),
            stopping: Cell::new(false),
            yield_until: Cell::new(Time::ZERO),
            strongest_peer: Cell::new((0.0, Time::ZERO)),
            peers: RefCell::default(),
            requests: Cell::new(0),
            connections: Cell::new(0),
            metrics: Metrics::default(),
            executor,
            stop,
            stopped,
        })
    }

    /// Runs a task beside the others.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Tells all parts that the node is to stop.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.stop.close();
    }

    /// Whether it leaves the office to others.
    pub fn is_yielding(&self, now: Time) -> bool {
        now < self.yield_until.get()
    }

    /// Notes a peer's share of a core.
    pub fn record_peer(&self, share: f64, now: Time) {
        let (best, heard) = self.strongest_peer.get();
        if share >= best || now.since(heard) > PEER_MEMORY {
            self.strongest_peer.set((share, now));
        }
    }

    /// Whether a peer that was heard of lately has far more of a core.
    pub fn has_stronger_peer(&self, now: Time) -> bool {
        let (best, heard) = self.strongest_peer.get();
        now.since(heard) <= PEER_MEMORY && best >= self.settings().cpu_share * STRONGER
    }

    /// Notes a node that is linked to this one.
    pub fn add_peer(&self, out: Sender<Reply>) {
        let mut links = self.peers.borrow_mut();
        links.retain(|link| !link.is_closed());
        links.push(out);
    }

    /// Tells all linked nodes that this one has left the office.
    pub fn announce_step_down(&self) {
        for link in self.peers.borrow().iter() {
            // A node that is gone needs no telling.
            let _ = link.try_send(Reply { id: UNSOLICITED, tell: None });
        }
    }

    /// Closed once the node is to stop.
    pub fn stopped(&self) -> Receiver<()> {
        self.stopped.clone()
    }

    /// Its settings.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// The configuration in force.
    pub fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Its time in office, while it has one.
    pub fn term(&self) -> Option<Rc<Term>> {
        self.reign.borrow().clone().filter(|reign| !reign.is_over())
    }

    /// Its open connection to the node in office.
    pub fn leader(&self) -> Option<Rc<rpc::Client>> {
        self.link.borrow().clone().filter(|link| link.is_open())
    }

    /// Puts a newer configuration in force.
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
        let config = Rc::new(config);
        *self.config.borrow_mut() = Rc::clone(&config);
        if let Some(reign) = self.term() {
            reign.configure(&config);
        }
    }

    /// Whether the store answers this node now.
    pub async fn reaches_store(&self) -> bool {
        self.store.row(rows::LEADERS, rows::PART, rows::LEADER).await.is_ok()
    }

    /// Whether callers' new connections should come here.
    pub fn is_ready(&self) -> bool {
        let reigns = self.term().is_some_and(|reign| reign.is_restored());
        let served = reigns || self.leader().is_some();
        !self.stopping.get() && self.config.borrow().version > 0 && served
    }
}
