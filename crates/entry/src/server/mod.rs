//! A running request path.

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

/// Interval at which a shutdown checks whether requests are still in flight.
const STOP_POLL: Duration = Duration::from_millis(5);

/// A handle to a running request path. Clones refer to the same one.
///
/// Requests are handled on a thread of their own, so that the control loop cannot delay them. The
/// handle may be used from any thread.
#[derive(Clone, Debug)]
pub struct Entry {
    shared: Arc<Shared>,
}

/// Result of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were still in flight at the time limit, and were aborted.
    pub cut_off: usize,
}

impl Entry {
    /// Listens for callers and serves them on a new thread. Fails if the address cannot be bound or
    /// the thread cannot be started.
    pub fn bind<T: Table>(settings: Settings, table: T, view: View) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(settings.callers)?;
        let address = listener.get_ref().local_addr()?;
        let shared = Arc::new(Shared::new(address, view));
        let this = Self { shared: Arc::clone(&shared) };
        let name = format!("requests-{}", settings.name);
        thread::Builder::new().name(name).spawn(move || run(settings, table, shared, listener))?;
        Ok(this)
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sets the view. One with a lower serial than the last is ignored. Requests that are sent
    /// after this returns are routed by this view or a newer one.
    pub fn update(&self, view: View) {
        self.shared.update(view);
    }

    /// Load of this entry: requests in flight, and the serial of the view in force.
    pub fn load(&self) -> Load {
        self.shared.load()
    }

    /// Receives a message when a view is needed after a pause of the process. Call
    /// [`Entry::update`] in response, with the same view if nothing has changed. Requests wait for
    /// the update for at most half a second.
    pub fn refresh_requests(&self) -> Receiver<()> {
        self.shared.refresh_requests()
    }

    /// Whether it is ready for new callers: the health check of the load balancer in front of it.
    pub fn is_ready(&self) -> bool {
        self.shared.phase() == Phase::Serving
    }

    /// All metrics as text, one `name{labels} value` per line.
    pub fn metrics(&self) -> String {
        self.shared.metrics.render()
    }

    /// Shuts down without aborting requests.
    ///
    /// [`Entry::is_ready`] returns false at once. For `grace`, the time that the load balancer
    /// needs to notice, the entry still accepts connections, and closes each one after its next
    /// response. Then it accepts none, and requests in flight have `limit` to finish.
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
        requests + self.shared.connections.load(Ordering::Acquire) > 0
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
