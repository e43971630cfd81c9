//! A back end with slots, fault switches and a ledger of what it ran.
//!
//! * [`Upstream`]: a running one; [`Settings`]: what it can take.
//! * [`Faults`]: what goes wrong with it.
//! * [`Ledger`]: what it ran, by request id and by idempotency key.

mod contract;
mod fault;
mod ledger;
mod line;
mod state;

pub use fault::Faults;
pub use fault::Oddity;
pub use ledger::Ledger;
pub use ledger::Run;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;

use crate::worker::Worker;
use state::State;

/// What an upstream can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Requests it works on at once; it refuses more as not run.
    pub slots: u32,
    /// Connections it accepts; it closes more at once.
    pub connections: u32,
    /// How long a request takes, milliseconds.
    pub work_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { slots: 8, connections: 64, work_ms: 5 }
    }
}

/// A running stand-in upstream. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Upstream {
    address: SocketAddr,
    settings: Settings,
    executor: Arc<Executor<'static>>,
    state: Arc<Mutex<State>>,
    /// Runs attempts at the same address, where there is one.
    worker: Option<Worker>,
    start: Instant,
}

impl Upstream {
    /// Listens on `address` and serves on `executor`.
    pub fn bind(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        settings: Settings,
    ) -> std::io::Result<Self> {
        Self::bind_with(executor, address, settings, None)
    }

    /// The same with a worker that answers the contract at the same address.
    pub fn bind_with(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        settings: Settings,
        worker: Option<Worker>,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let this = Self {
            address,
            settings,
            executor: Arc::clone(executor),
            state: Arc::default(),
            worker,
            start: clock(),
        };
        this.listen(listener);
        Ok(this)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What runs attempts here, where something does.
    pub fn worker(&self) -> Option<&Worker> {
        self.worker.as_ref()
    }

    /// What it can take.
    pub fn settings(&self) -> Settings {
        self.settings
    }

    /// What it ran so far.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Requests it works on at present.
    pub fn busy(&self) -> u32 {
        self.lock().busy
    }

    /// Most connections that were open at once, refused ones included.
    pub fn peak_connections(&self) -> u32 {
        self.lock().peak_connections
    }

    /// Sets what goes wrong from now on.
    pub fn set(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Takes no new work from now on, or takes it again.
    pub fn drain(&self, draining: bool) {
        let now = self.now();
        self.lock().drain(now, draining);
    }

    /// The connections that are open now go silent for good; new ones work.
    pub fn silence(&self) {
        self.lock().lines.silence();
    }

    /// Closes every connection and the listener; what it was working on has no answer.
    pub fn crash(&self) {
        self.lock().lines.crash();
    }

    /// Listens again after [`Upstream::crash`].
    pub fn restart(&self) -> std::io::Result<()> {
        let listener = Async::<TcpListener>::bind(self.address)?;
        self.lock().restart();
        if let Some(worker) = &self.worker {
            worker.restart(self.now());
        }
        self.listen(listener);
        Ok(())
    }

    fn listen(&self, listener: Async<TcpListener>) {
        let crashed = self.lock().lines.crashed();
        let accept = self.clone().accept(listener);
        let end = async move {
            let _ = crashed.recv().await;
        };
        self.executor.spawn(accept.or(end)).detach();
    }

    async fn accept(self, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.executor.spawn(line::run(self.clone(), stream)).detach(),
                Err(_) => drop(Timer::after(Duration::from_millis(10)).await),
            }
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + clock().duration_since(self.start)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Tells the connections of an upstream that something has happened to all of them.
#[derive(Debug)]
struct Lines {
    silence: (Sender<()>, Receiver<()>),
    crash: (Sender<()>, Receiver<()>),
}

impl Default for Lines {
    fn default() -> Self {
        Self { silence: async_channel::bounded(1), crash: async_channel::bounded(1) }
    }
}

impl Lines {
    fn silenced(&self) -> Receiver<()> {
        self.silence.1.clone()
    }

    fn crashed(&self) -> Receiver<()> {
        self.crash.1.clone()
    }

    fn silence(&mut self) {
        self.silence.0.close();
        self.silence = async_channel::bounded(1);
    }

    fn crash(&mut self) {
        self.crash.0.close();
        self.crash = async_channel::bounded(1);
    }
}

#[expect(clippy::disallowed_methods, reason = "the stand-in's own clock")]
fn clock() -> Instant {
    Instant::now()
}
