//! A running entry instance.

mod accept;

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use fleet::view::Load;
use fleet::view::View;
use platform::table::Table;

use crate::core;
use crate::core::Core;
use crate::core::Phase;
use crate::core::Shared;
use crate::core::Spawner;
use crate::settings::Settings;

/// How often a stop looks whether everything in flight is done.
const STOP_POLL: Duration = Duration::from_millis(5);

/// A running entry instance. Clones are handles to the same one.
///
/// Requests run on a thread of their own, so that nothing that the control loop does holds them
/// up. The handle may be used from any thread.
#[derive(Clone, Debug)]
pub struct Entry {
    shared: Arc<Shared>,
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were still in flight when the time limit was reached.
    pub cut_off: usize,
}

impl Entry {
    /// Listens for callers and serves them on a thread of its own.
    pub fn bind<T: Table>(settings: Settings, table: T, view: View) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(settings.callers)?;
        let address = listener.get_ref().local_addr()?;
        let shared = Arc::new(Shared::new(address, view));
        let this = Self { shared: Arc::clone(&shared) };
        let name = format!("requests-{}", settings.name);
        thread::Builder::new().name(name).spawn(move || run(settings, table, shared, listener))?;
        Ok(this)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Hands the request path a view; one with a lower serial than the last is dropped. Every
    /// request that is sent after this returns is sent by this view or by a newer one.
    pub fn update(&self, view: View) {
        self.shared.update(view);
    }

    /// What is in flight, and the serial of the last view that every new request is sent by.
    pub fn load(&self) -> Load {
        self.shared.load()
    }

    /// Tells when the process was paused and wants a view: answer with [`Entry::update`], with the
    /// same view if nothing has changed. Requests wait for it, but not for long.
    pub fn refresh_requests(&self) -> Receiver<()> {
        self.shared.refresh_requests()
    }

    /// Whether it takes callers, for the balancer.
    pub fn is_ready(&self) -> bool {
        self.shared.phase() == Phase::Serving
    }

    /// All metrics as text, one `name{labels} value` a line.
    pub fn metrics(&self) -> String {
        self.shared.metrics.render()
    }

    /// Stops without cutting off a request.
    ///
    /// Readiness goes off at once. Callers are still taken for `grace`, the time that the balancer
    /// needs to notice, and sent away with each answer. Then no more are taken, and what is in
    /// flight has `limit` to end.
    pub async fn stop(&self, grace: Duration, limit: Duration) -> Stopped {
        self.shared.advance(Phase::Leaving);
        Timer::after(grace).await;
        self.shared.advance(Phase::Closing);
        let end = http::clock::now() + limit;
        while self.is_busy() && http::clock::now() < end {
            Timer::after(STOP_POLL).await;
        }
        let cut_off = self.shared.requests.load(Ordering::Acquire);
        self.shared.advance(Phase::Ended);
        Stopped { cut_off }
    }

    fn is_busy(&self) -> bool {
        let requests = self.shared.requests.load(Ordering::Acquire);
        requests + self.shared.callers.load(Ordering::Acquire) > 0
    }
}

fn run<T: Table>(settings: Settings, table: T, shared: Arc<Shared>, listener: Async<TcpListener>) {
    let executor = Rc::new(LocalExecutor::new());
    let spawner = Spawner::new(&executor);
    let core = Rc::new(Core::new(&spawner, settings, table, Arc::clone(&shared)));
    spawner.spawn(accept::run(spawner.clone(), Rc::clone(&core), listener));
    spawner.spawn(core::run_ticks(core));
    async_io::block_on(executor.run(shared.ended()));
}
