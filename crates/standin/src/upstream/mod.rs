//! A back end with slots and a ledger of what it ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use http::Limits;
use http::Request;
use http::Response;

/// How a stand-in upstream behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Requests it works on at once.
    pub slots: u32,
    /// How long a request takes, milliseconds.
    pub work_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { slots: 8, work_ms: 5 }
    }
}

/// What the upstream ran, by request id.
pub type Ledger = BTreeMap<String, u32>;

#[derive(Debug, Default)]
struct State {
    busy: u32,
    ledger: Ledger,
}

/// A running stand-in upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    address: SocketAddr,
    settings: Settings,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// Listens on `address` and serves on `executor`.
    pub fn bind(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        settings: Settings,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let this = Self { address, settings, state: Arc::default() };
        executor.spawn(this.clone().accept(Arc::clone(executor), listener)).detach();
        Ok(this)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it ran so far, with how often.
    pub fn ledger(&self) -> Ledger {
        self.state.lock().expect("no holder panics").ledger.clone()
    }

    async fn accept(self, executor: Arc<Executor<'static>>, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            let this = self.clone();
            let connection = async move {
                let Ok(stream) = http::Stream::new(stream) else { return };
                let limits = Limits::default();
                let _ = http::serve(stream, &limits, |request| this.run(request)).await;
            };
            executor.spawn(connection).detach();
        }
    }

    async fn run(&self, request: Request) -> Response {
        if !self.take_slot() {
            return Response::new(503).with_header("knapweedsail-outcome", "not-run");
        }
        let id = request.headers.get("knapweedsail-request-id").unwrap_or("none").to_owned();
        *self.state.lock().expect("no holder panics").ledger.entry(id.clone()).or_insert(0) += 1;
        Timer::after(std::time::Duration::from_millis(self.settings.work_ms)).await;
        self.state.lock().expect("no holder panics").busy -= 1;
        Response::new(200).with_header("knapweedsail-request-id", id).with_body(request.body)
    }

    fn take_slot(&self) -> bool {
        let mut state = self.state.lock().expect("no holder panics");
        if state.busy >= self.settings.slots {
            return false;
        }
        state.busy += 1;
        true
    }
}
