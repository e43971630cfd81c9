//! Fakes of the request path and of the workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use contract::Drain;
use contract::Health;
use contract::Outcome;
use contract::Serving;
use control::engine::Contact;
use control::engine::Parts;
use fleet::view::Load;
use fleet::view::Standing;
use fleet::view::View;
use standin::mesh::Node;
use standin::platform::Memory;

/// The parts of a test's engine.
#[derive(Debug)]
pub(crate) struct Fakes;

impl Parts for Fakes {
    type Table = Memory;
    type Objects = Memory;
    type List = Memory;
    type Spread = Node;
    type Path = Path;
    type Contact = Workers;
}

/// A request path that sends nothing by itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Path(Arc<Mutex<Sending>>);

#[derive(Debug, Default)]
struct Sending {
    view: View,
    load: Load,
    stuck: bool,
}

impl Path {
    /// Whether new requests may still go by an older view.
    pub(crate) fn set_stuck(&self, stuck: bool) {
        let mut sending = self.lock();
        sending.stuck = stuck;
        if !stuck {
            sending.load.serial = sending.view.serial;
        }
    }

    /// Requests in flight at an instance.
    pub(crate) fn set_in_flight(&self, instance: &str, count: u32) {
        let mut sending = self.lock();
        sending.load.in_flight.insert(instance.to_owned(), count);
        sending.load.in_flight.retain(|_, count| *count > 0);
    }

    /// Whether new requests would be sent to an instance.
    pub(crate) fn is_open(&self, instance: &str) -> bool {
        let sending = self.lock();
        let upstreams = sending.view.targets.values().flat_map(|target| &target.upstreams);
        let mut open = upstreams.filter(|upstream| upstream.standing == Standing::Open);
        open.any(|upstream| upstream.instance == instance)
    }

    fn lock(&self) -> MutexGuard<'_, Sending> {
        self.0.lock().expect("no holder panics")
    }
}

impl control::Path for Path {
    fn update(&self, view: View) {
        let mut sending = self.lock();
        if !sending.stuck {
            sending.load.serial = view.serial;
        }
        sending.view = view;
    }

    fn load(&self) -> Load {
        self.lock().load.clone()
    }
}

/// Workers by address; those that are down do not answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers(Arc<Mutex<BTreeMap<SocketAddr, Worker>>>);

/// A worker that is up.
#[derive(Clone, Copy, Debug, Default)]
struct Worker {
    health: Health,
    /// Whether it ignores what it is told.
    deaf: bool,
}

impl Workers {
    /// Starts a worker, or starts it again.
    pub(crate) fn start(&self, address: SocketAddr) {
        self.lock().insert(address, Worker::default());
    }

    /// Ends a worker.
    pub(crate) fn stop(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Changes what a worker says.
    pub(crate) fn change(&self, address: SocketAddr, change: impl FnOnce(&mut Health)) {
        change(&mut self.lock().get_mut(&address).expect("it is up").health);
    }

    /// What a worker says.
    pub(crate) fn health(&self, address: SocketAddr) -> Option<Health> {
        self.lock().get(&address).map(|worker| worker.health)
    }

    /// Whether a worker ignores what it is told.
    pub(crate) fn set_deaf(&self, address: SocketAddr, deaf: bool) {
        self.lock().get_mut(&address).expect("it is up").deaf = deaf;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Worker>> {
        self.0.lock().expect("no holder panics")
    }
}

impl Contact for Workers {
    async fn health(&self, address: SocketAddr) -> Outcome<Health> {
        let known = self.lock().get(&address).map(|worker| worker.health);
        known.map_or_else(|| Outcome::Unknown("no answer".to_owned()), Outcome::Done)
    }

    async fn drain(&self, address: SocketAddr, drain: Drain) -> Outcome<Health> {
        let mut workers = self.lock();
        let Some(Worker { health, deaf }) = workers.get_mut(&address) else {
            return Outcome::Unknown("no answer".to_owned());
        };
        if drain.epoch >= health.epoch && !*deaf {
            health.epoch = drain.epoch;
            health.serving = if drain.draining { Serving::Draining } else { Serving::Open };
        }
        Outcome::Done(*health)
    }
}
