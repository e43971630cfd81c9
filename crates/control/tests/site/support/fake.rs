//! Fakes of the request path and of the workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use contract::Attempt;
use contract::Call;
use contract::Drain;
use contract::Health;
use contract::Outcome;
use contract::Phase;
use contract::Reason;
use contract::Refusal;
use contract::Renew;
use contract::Report;
use contract::Serving;
use contract::Target;
use control::engine::Environment;
use control::engine::InstanceClient;
use fleet::view::Availability;
use fleet::view::Load;
use fleet::view::View;
use platform::wait::Instantly;
use standin::mesh::Node;
use standin::platform::Memory;

/// The parts of a test's engine.
#[derive(Debug)]
pub(crate) struct Fakes;

impl Environment for Fakes {
    type Table = Memory;
    type Objects = Memory;
    type List = Memory;
    type Spread = Node;
    type Path = Path;
    type Instances = Workers;
    type Wait = Instantly;
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
        let mut open = upstreams.filter(|upstream| upstream.availability == Availability::Open);
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
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub(crate) health: Health,
    /// Whether it ignores what it is told.
    pub(crate) deaf: bool,
    /// Whether its answers are lost.
    pub(crate) mute: bool,
    /// The attempts that it reports.
    pub(crate) attempts: BTreeMap<(String, u32), Attempt>,
    /// Every start that it was told.
    pub(crate) starts: Vec<(String, u32)>,
    /// How often its lease was renewed.
    pub(crate) renewals: u32,
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

    /// Changes a worker, or looks at it.
    pub(crate) fn with<R>(&self, address: SocketAddr, look: impl FnOnce(&mut Worker) -> R) -> R {
        look(self.lock().get_mut(&address).expect("it is up"))
    }

    fn ask<R>(&self, address: SocketAddr, answer: impl FnOnce(&mut Worker) -> R) -> Outcome<R> {
        let mut workers = self.lock();
        let Some(worker) = workers.get_mut(&address) else {
            return Outcome::Unknown("no answer".to_owned());
        };
        let answer = answer(worker);
        if worker.mute { Outcome::Unknown("no answer".to_owned()) } else { Outcome::Done(answer) }
    }

    fn tell<R: Default>(
        &self,
        address: SocketAddr,
        epoch: u64,
        change: impl FnOnce(&mut Worker) -> R,
    ) -> Outcome<R> {
        let old = self.lock().get(&address).is_some_and(|worker| epoch < worker.health.epoch);
        if old {
            return Outcome::Refused(Refusal::new(Reason::OldEpoch, 0, String::new()));
        }
        self.ask(address, |worker| {
            if worker.deaf {
                return R::default();
            }
            worker.health.epoch = epoch;
            change(worker)
        })
    }

    fn end(&self, address: SocketAddr, target: Target, phase: Phase) -> Outcome<Attempt> {
        self.tell(address, target.epoch, |worker| {
            let attempt = worker.attempts.entry((target.job, target.number)).or_default();
            attempt.phase = phase;
            attempt.clone()
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Worker>> {
        self.0.lock().expect("no holder panics")
    }
}

impl InstanceClient for Workers {
    async fn report(&self, address: SocketAddr) -> Outcome<Report> {
        self.ask(address, |worker| {
            let Health { epoch, serving, now, in_flight } = worker.health;
            let attempts = worker.attempts.values().cloned().collect();
            Report { epoch, serving, now, age_ms: 0, in_flight, attempts }
        })
    }

    async fn drain(&self, address: SocketAddr, drain: Drain) -> Outcome<Health> {
        self.tell(address, drain.epoch, |worker| {
            let serving = if drain.draining { Serving::Draining } else { Serving::Open };
            worker.health.serving = serving;
            worker.health
        })
    }

    async fn renew(&self, address: SocketAddr, renew: Renew) -> Outcome<Health> {
        self.tell(address, renew.epoch, |worker| {
            worker.renewals += 1;
            worker.health
        })
    }

    async fn command(&self, address: SocketAddr, order: Call) -> Outcome<Attempt> {
        match order {
            Call::Start(start) => self.tell(address, start.epoch, |worker| {
                let key = (start.job.clone(), start.number);
                worker.starts.push(key.clone());
                let attempt =
                    Attempt { job: start.job, number: start.number, ..Attempt::default() };
                worker.attempts.entry(key).or_insert(attempt).clone()
            }),
            Call::Throttle(throttle) => self.end(address, throttle.target, Phase::Throttled),
            Call::Checkpoint(target) => self.end(address, target, Phase::Checkpointed),
            Call::Stop(target) => self.end(address, target, Phase::Stopped),
            Call::Forget(target) => self.tell(address, target.epoch, |worker| {
                let found = worker.attempts.remove(&(target.job, target.number));
                found.unwrap_or_default()
            }),
            call => panic!("{call:?} is no order"),
        }
    }
}
