//! A running entry instance: accepts callers and sends their requests on.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use fleet::error::Kind;
use fleet::view::Route;
use fleet::view::Upstream;
use fleet::view::View;
use http::Limits;
use http::Request;
use http::Response;

/// A running entry instance.
#[derive(Clone, Debug)]
pub struct Entry {
    address: SocketAddr,
    view: Arc<Mutex<Arc<View>>>,
}

impl Entry {
    /// Listens on `address` and serves on `executor`.
    pub fn bind(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        view: View,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let this = Self { address, view: Arc::new(Mutex::new(Arc::new(view))) };
        executor.spawn(this.clone().accept(Arc::clone(executor), listener)).detach();
        Ok(this)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hands the request path a new view.
    pub fn update(&self, view: View) {
        *self.view.lock().expect("no holder panics") = Arc::new(view);
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
        let view = Arc::clone(&self.view.lock().expect("no holder panics"));
        let Some(upstream) = route(&view, &request) else {
            return refuse(Kind::NoRoute);
        };
        tracing::info!(event = "route", instance = upstream.instance, revision = view.revision.0);
        let timeout = Duration::from_secs(10);
        match http::call(upstream.address, &request, Limits::default(), timeout).await {
            Ok(answer) => answer.with_header("knapweedsail-outcome", "ran"),
            Err(http::Error::NotSent(_)) => refuse(Kind::NoUpstream),
            Err(http::Error::Timeout) => refuse(Kind::UpstreamTimeout),
            Err(_) => refuse(Kind::UpstreamBroken),
        }
    }
}

fn route<'view>(view: &'view View, request: &Request) -> Option<&'view Upstream> {
    let mut segments = request.target.split('/').skip(1);
    let organisation = segments.next()?.to_owned();
    let service = segments.next()?.to_owned();
    view.targets.get(&Route { organisation, service })?.upstreams.first()
}

fn refuse(kind: Kind) -> Response {
    let answer = kind.answer();
    let response = Response::new(answer.status)
        .with_header("knapweedsail-outcome", answer.outcome.to_string())
        .with_header("knapweedsail-error", kind.to_string());
    match answer.retry_after_secs {
        Some(secs) => response.with_header("retry-after", secs.to_string()),
        None => response,
    }
}
