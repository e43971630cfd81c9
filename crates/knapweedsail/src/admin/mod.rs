//! The address for operators and the balancer's health check, apart from the callers' one.

mod answer;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use control::Control;
use http::Limits;
use http::Stream;

/// Largest body of an operator's request, bytes.
const BODY_BYTES: usize = 8 << 20;
/// Wait after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the admin address tells of the request path of its own process.
pub trait Probe: Clone + Send + Sync + 'static {
    /// Whether the balancer may send callers.
    fn is_ready(&self) -> bool;

    /// The metrics, as text.
    fn metrics(&self) -> String;
}

/// A running admin server.
#[derive(Clone, Debug)]
pub struct Admin<P> {
    address: SocketAddr,
    control: Control,
    probe: P,
}

impl<P: Probe> Admin<P> {
    /// Listens on `address` and serves on `executor`.
    pub fn bind(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        control: Control,
        probe: P,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let this = Self { address, control, probe };
        executor.spawn(this.clone().accept(Arc::clone(executor), listener)).detach();
        Ok(this)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn accept(self, executor: Arc<Executor<'static>>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => executor.spawn(self.clone().serve(stream)).detach(),
                Err(error) => {
                    tracing::warn!(event = "admin-accept", error = %error);
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self, stream: Async<std::net::TcpStream>) {
        let limits = Limits { body: BODY_BYTES, ..Limits::default() };
        let Ok(stream) = Stream::new(stream) else { return };
        let served = http::serve(stream, &limits, |request| self.answer(request)).await;
        if let Err(error) = served {
            tracing::debug!(event = "admin-connection", error = %error);
        }
    }
}
