//! Handles the requests of one connection.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use adapter::job;
use futures_lite::FutureExt;
use http::Handler;
use http::Limits;
use http::Request;
use http::Response;
use http::Stream;
use http::budget::Member;
use scheduler::config::Queue;
use tracing::debug;
use tracing::info;

use super::call::Call;
use super::call::respond;
use crate::Node;
use crate::access::Refusal;
use crate::clock;
use crate::rpc::Answer;
use crate::rpc::NO_LEADER_RETRY;

/// Maximum time that a request waits for the leader, even if its caller would wait longer.
const MAX_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller whose connection had to give way may try again.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// A caller's connection.
pub(super) struct Connection {
    node: Rc<Node>,
}

impl Connection {
    /// Serves a connection until it ends.
    pub(super) async fn serve(node: Rc<Node>, stream: Stream, member: Member) {
        let limits = node.config().limits;
        let limits = Limits {
            head: limits.head,
            body: limits.body,
            message: limits.message,
            idle: limits.idle,
            ..Limits::default()
        };
        let mut connection = Self { node };
        if let Err(error) = http::serve_budgeted(stream, member, &limits, &mut connection).await {
            debug!(event = "caller", state = "broken", %error);
        }
    }
}

/// One more in a count, until it is dropped.
pub(super) struct Counted<'count>(&'count Cell<usize>);

impl<'count> Counted<'count> {
    pub(super) fn add(count: &'count Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Handler for Connection {
    fn run(&mut self, request: Request) -> impl Future<Output = Response> {
        let node = Rc::clone(&self.node);
        async move {
            let _in_flight = Counted::add(&node.requests);
            if node.is_ending() {
                job::refused(503, "this node is about to end", Some(NO_LEADER_RETRY))
            } else {
                let ending = async {
                    node.ending().await;
                    respond(&Answer::Unknown)
                };
                answer(&node, &request).or(ending).await
            }
        }
    }

    fn refuse(&mut self, error: &http::Error, status: u16) -> Response {
        match error {
            http::Error::Overloaded => job::refused(503, "too many callers", Some(OVERLOAD_RETRY)),
            _ => Response::new(status),
        }
    }

    fn closing(&self) -> bool {
        self.node.stopping.get()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        let stopped = self.node.stopped();
        async move {
            // Nothing is sent; the channel closes once the node is stopping.
            let _ = stopped.recv().await;
        }
    }
}

async fn answer(node: &Node, request: &Request) -> Response {
    let began = clock::now();
    let path = request.target.split('?').next().unwrap_or_default();
    let host = request.headers.get("host").unwrap_or_default();
    if node.config().tenants.is_some() && !node.follows() {
        node.until_confirmed(job::timeout(request).unwrap_or(MAX_TIMEOUT)).await;
    }
    let config = node.config();
    if config.version == 0 {
        return job::refused(503, "no configuration yet", Some(Duration::from_secs(1)));
    }
    let Some((name, queue, rest)) = config.route(host, path) else {
        info!(event = "request", host, path, status = 404, config = config.version);
        return job::refused(404, "no such queue", None);
    };
    let timeout = timeout(request, queue);
    let kind = match (request.method.as_str(), rest) {
        ("GET", "") => "count",
        ("GET", _) => "state",
        ("POST", _) => "submit",
        ("DELETE", _) => "cancel",
        _ => "other",
    };
    let identified = node.identify(&config, name, queue, job::key(request));
    let refusal = identified.as_ref().err().map(Refusal::to_string);
    let caller = identified.as_ref().ok().and_then(Option::as_ref);
    let tenant = caller.map(|caller| caller.tenant.clone()).filter(|tenant| !tenant.is_empty());
    let deferred = caller.is_some_and(|caller| !caller.certain).then_some(true);
    let response = match identified {
        Ok(caller) => {
            let call = Call { node, caller, timeout };
            match kind {
                "count" => call.count(name).await,
                "state" => call.state(rest).await,
                "submit" => call.submit(name, rest, &request.body).await,
                "cancel" => call.cancel(rest).await,
                _ => job::refused(405, "no such method here", None),
            }
        }
        Err(refusal) => respond(&refusal.into()),
    };
    let took = clock::now().since(began);
    node.metrics.request(kind, response.status, took);
    let took_ms = took.as_millis();
    let status = response.status;
    let retry = response.headers.get("retry-after").unwrap_or("");
    let (version, job) = (config.version, rest);
    if status >= 400 || matches!(kind, "submit" | "cancel") {
        info!(
            event = "request",
            ask = kind,
            job,
            queue = name,
            tenant,
            status,
            reason = refusal,
            deferred,
            took_ms,
            retry,
            config = version
        );
    } else {
        debug!(
            event = "request",
            ask = kind,
            job,
            queue = name,
            tenant,
            status,
            took_ms,
            config = version
        );
    }
    response
}

fn timeout(request: &Request, queue: &Queue) -> Duration {
    let requested = job::timeout(request).unwrap_or(queue.timeout);
    requested.min(MAX_TIMEOUT)
}
