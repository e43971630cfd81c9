//! Accepts connections from callers and serves them.

use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use fleet::error::Kind;
use futures_lite::FutureExt;
use futures_lite::future;
use http::Error;
use http::Handler;
use http::Limits;
use http::Request;
use http::Response;
use http::Stream;
use platform::table::Table;

use crate::answer;
use crate::core::Core;
use crate::core::Phase;
use crate::core::Spawner;
use crate::path;

/// Delay before the next attempt to accept, after an error or while there are too many connections.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until [`Phase::Closing`].
pub(super) async fn run<T: Table>(
    spawner: Spawner,
    core: Rc<Core<T>>,
    listener: Async<TcpListener>,
) {
    while core.shared().phase() < Phase::Closing {
        if core.shared().connections.load(Ordering::Acquire) >= core.settings().connections {
            Timer::after(RETRY_DELAY).await;
            continue;
        }
        let accepted = async { Some(listener.accept().await) };
        let closed = async {
            core.shared().closed().await;
            None
        };
        match accepted.or(closed).await {
            Some(Ok((stream, _))) => spawner.spawn(serve(Rc::clone(&core), stream)),
            Some(Err(error)) => {
                tracing::warn!(event = "accept-failed", %error);
                Timer::after(RETRY_DELAY).await;
            }
            None => break,
        }
    }
    // Connections that the system has accepted already may carry a request: closing the listener
    // would abort it.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        spawner.spawn(serve(Rc::clone(&core), stream));
    }
}

async fn serve<T: Table>(core: Rc<Core<T>>, stream: Async<std::net::TcpStream>) {
    let _counted = CountGuard::new(&core.shared().connections);
    let Ok(stream) = Stream::new(stream) else { return };
    let limits = Limits { body: core.max_body(), ..core.settings().limits };
    let mut caller = Caller { core: &core, stream: stream.clone() };
    if let Err(error) = http::serve_with(stream, &limits, &mut caller).await {
        tracing::debug!(event = "caller-ended", %error);
    }
}

/// Increments a counter until it is dropped.
struct CountGuard<'count>(&'count AtomicUsize);

impl<'count> CountGuard<'count> {
    fn new(count: &'count AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Handles the requests of one connection.
struct Caller<'core, T> {
    core: &'core Rc<Core<T>>,
    stream: Stream,
}

impl<T: Table> Handler for Caller<'_, T> {
    async fn run(&mut self, request: Request) -> Response {
        let _counted = CountGuard::new(&self.core.shared().requests);
        path::run(self.core, request, &self.stream).await
    }

    fn refuse(&mut self, error: &Error, status: u16) -> Response {
        let kind = match error {
            Error::HeadTooLarge => Kind::HeadTooLarge,
            Error::BodyTooLarge => Kind::BodyTooLarge,
            Error::Timeout => Kind::CallerTooSlow,
            _ => Kind::BadRequest,
        };
        let id = self.core.generate_id();
        tracing::info!(event = "refuse", request = id, error = %kind, reason = %error);
        self.core.metrics().record_request(None, kind.name(), Duration::ZERO);
        answer::refusal_with_status(kind, status, &id, None)
    }

    fn closing(&self) -> bool {
        self.core.shared().phase() > Phase::Serving
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.core.shared().closed()
    }
}
