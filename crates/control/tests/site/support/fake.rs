//! Fakes of the request path and the workers.

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

/// The environment of a test's engine.
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

/// A request path without requests of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct Path(Arc<Mutex<PathState>>);

#[derive(Debug, Default)]
struct PathState {
    view: View,
    load: Load,
    /// Whether the reported serial stays at an older view.
    stuck: bool,
}

impl Path {
    /// Sets whether new requests may still be routed by an older view.
    pub(crate) fn set_stuck(&self, stuck: bool) {
        let mut state = self.lock();
        state.stuck = stuck;
        if !stuck {
            state.load.serial = state.view.serial;
        }
    }

    /// Sets the number of requests in flight at an instance.
    pub(crate) fn set_in_flight(&self, instance: &str, count: u32) {
        let mut state = self.lock();
        state.load.in_flight.insert(instance.to_owned(), count);
        state.load.in_flight.retain(|_, count| *count > 0);
    }

    /// Whether new requests may be routed to an instance.
    pub(crate) fn is_open(&self, instance: &str) -> bool {
        let state = self.lock();
        let upstreams = state.view.targets.values().flat_map(|target| &target.upstreams);
        let mut open = upstreams.filter(|upstream| upstream.availability == Availability::Open);
        open.any(|upstream| upstream.instance == instance)
    }

    fn lock(&self) -> MutexGuard<'_, PathState> {
        self.0.lock().expect("no holder panics")
    }
}

impl control::Path for Path {
    fn update(&self, view: View) {
        let mut state = self.lock();
        if !state.stuck {
            state.load.serial = view.serial;
        }
        state.view = view;
    }

    fn load(&self) -> Load {
        self.lock().load.clone()
    }
}

/// Running workers by address; other addresses do not answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers(Arc<Mutex<BTreeMap<SocketAddr, Worker>>>);

/// A running worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub(crate) health: Health,
    /// Whether it ignores commands.
    pub(crate) ignores_commands: bool,
    /// Whether its answers are lost.
    pub(crate) loses_answers: bool,
    /// The attempts that it reports.
    pub(crate) attempts: BTreeMap<(String, u32), Attempt>,
    /// Every start command that it received: job name and attempt number.
    pub(crate) starts: Vec<(String, u32)>,
    /// Number of lease renewals that it received.
    pub(crate) renewals: u32,
}

impl Workers {
    /// Starts or restarts a worker.
    pub(crate) fn start(&self, address: SocketAddr) {
        self.lock().insert(address, Worker::default());
    }

    /// Stops a worker.
    pub(crate) fn stop(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Changes the health that a worker reports.
    pub(crate) fn change_health(&self, address: SocketAddr, change: impl FnOnce(&mut Health)) {
        change(&mut self.lock().get_mut(&address).expect("the worker is running").health);
    }

    /// The health that a worker reports; `None` if it is not running.
    pub(crate) fn health(&self, address: SocketAddr) -> Option<Health> {
        self.lock().get(&address).map(|worker| worker.health)
    }

    /// Calls `f` with a worker's state.
    pub(crate) fn with<R>(&self, address: SocketAddr, f: impl FnOnce(&mut Worker) -> R) -> R {
        f(self.lock().get_mut(&address).expect("the worker is running"))
    }

    fn ask<R>(&self, address: SocketAddr, answer: impl FnOnce(&mut Worker) -> R) -> Outcome<R> {
        let mut workers = self.lock();
        let Some(worker) = workers.get_mut(&address) else {
            return Outcome::Unknown("no answer".to_owned());
        };
        let answer = answer(worker);
        if worker.loses_answers {
            Outcome::Unknown("no answer".to_owned())
        } else {
            Outcome::Done(answer)
        }
    }

    /// Executes a command if its fencing token is not older than the latest one.
    fn execute<R: Default>(
        &self,
        address: SocketAddr,
        epoch: u64,
        change: impl FnOnce(&mut Worker) -> R,
    ) -> Outcome<R> {
        let outdated = self.lock().get(&address).is_some_and(|worker| epoch < worker.health.epoch);
        if outdated {
            return Outcome::Refused(Refusal::new(Reason::OldEpoch, 0, String::new()));
        }
        self.ask(address, |worker| {
            if worker.ignores_commands {
                return R::default();
            }
            worker.health.epoch = epoch;
            change(worker)
        })
    }

    fn end(&self, address: SocketAddr, target: Target, phase: Phase) -> Outcome<Attempt> {
        self.execute(address, target.epoch, |worker| {
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
        self.execute(address, drain.epoch, |worker| {
            let serving = if drain.draining { Serving::Draining } else { Serving::Open };
            worker.health.serving = serving;
            worker.health
        })
    }

    async fn renew(&self, address: SocketAddr, renew: Renew) -> Outcome<Health> {
        self.execute(address, renew.epoch, |worker| {
            worker.renewals += 1;
            worker.health
        })
    }

    async fn command(&self, address: SocketAddr, call: Call) -> Outcome<Attempt> {
        match call {
            Call::Start(start) => self.execute(address, start.epoch, |worker| {
                let key = (start.job.clone(), start.number);
                worker.starts.push(key.clone());
                let attempt =
                    Attempt { job: start.job, number: start.number, ..Attempt::default() };
                worker.attempts.entry(key).or_insert(attempt).clone()
            }),
            Call::Throttle(throttle) => self.end(address, throttle.target, Phase::Throttled),
            Call::Checkpoint(target) => self.end(address, target, Phase::Checkpointed),
            Call::Stop(target) => self.end(address, target, Phase::Stopped),
            Call::Forget(target) => self.execute(address, target.epoch, |worker| {
                let found = worker.attempts.remove(&(target.job, target.number));
                found.unwrap_or_default()
            }),
            call => panic!("unexpected command {call:?}"),
        }
    }
}
