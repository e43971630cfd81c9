//! Answers one caller's requests.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use adapter::job;
use http::Handler;
use http::Limits;
use http::Request;
use http::Response;
use http::Stream;
use scheduler::config::Queue;
use scheduler::job::Id;
use scheduler::job::Progress;
use tracing::debug;
use tracing::info;

use crate::Node;
use crate::clock;
use crate::rows;
use crate::rpc::Answer;
use crate::rpc::message;

/// Longest wait for the node in office where a caller would wait longer.
const MAX_PATIENCE: Duration = Duration::from_secs(10);

/// One caller's connection.
pub(super) struct Caller {
    node: Rc<Node>,
}

impl Caller {
    /// Serves a connection until it ends.
    pub(super) async fn serve(node: Rc<Node>, stream: Stream) {
        let limits = node.config().limits;
        let limits = Limits {
            head: limits.head,
            body: limits.body,
            message: limits.message,
            idle: limits.idle,
            ..Limits::default()
        };
        node.connections.set(node.connections.get() + 1);
        let mut caller = Self { node: Rc::clone(&node) };
        if let Err(error) = http::serve_with(stream, &limits, &mut caller).await {
            debug!(event = "caller", state = "broken", %error);
        }
        node.connections.set(node.connections.get() - 1);
    }
}

impl Handler for Caller {
    fn run(&mut self, request: Request) -> impl Future<Output = Response> {
        let node = Rc::clone(&self.node);
        async move {
            node.requests.set(node.requests.get() + 1);
            let response = answer(&node, &request).await;
            node.requests.set(node.requests.get() - 1);
            response
        }
    }

    fn closing(&self) -> bool {
        self.node.stopping.get()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        let stopped = self.node.stopped();
        async move {
            // Closed once the node is to stop.
            let _ = stopped.recv().await;
        }
    }
}

async fn answer(node: &Node, request: &Request) -> Response {
    let began = clock::now();
    let config = node.config();
    let path = request.target.split('?').next().unwrap_or_default();
    let host = request.headers.get("host").unwrap_or_default();
    if config.version == 0 {
        return job::refused(503, "no configuration yet", Some(Duration::from_secs(1)));
    }
    let Some((name, queue, rest)) = config.route(host, path) else {
        info!(event = "request", host, path, status = 404, config = config.version);
        return job::refused(404, "no such queue", None);
    };
    let patience = patience(request, queue);
    let (ask, response) = match (request.method.as_str(), rest) {
        ("GET", "") => {
            ("count", call(node, message::Request::Count(name.to_owned()), patience).await)
        }
        ("GET", id) => ("state", state(node, id, patience).await),
        ("POST", id) => ("submit", submit(node, name, id, &request.body, patience).await),
        ("DELETE", id) => ("cancel", cancel(node, id, patience).await),
        _ => ("other", job::refused(405, "no such method here", None)),
    };
    let took = clock::now().since(began);
    node.metrics.request(ask, response.status, took);
    let took_ms = took.as_millis();
    let status = response.status;
    let retry = response.headers.get("retry-after").unwrap_or("");
    let (version, job) = (config.version, rest);
    if status >= 400 || matches!(ask, "submit" | "cancel") {
        info!(event = "request", ask, job, queue = name, status, took_ms, retry, config = version);
    } else {
        debug!(event = "request", ask, job, queue = name, status, took_ms, config = version);
    }
    response
}

fn patience(request: &Request, queue: &Queue) -> Duration {
    let asked = job::patience(request).unwrap_or(queue.timeout);
    asked.min(MAX_PATIENCE)
}

async fn call(node: &Node, ask: message::Request, patience: Duration) -> Response {
    respond(&ask_office(node, ask, patience).await)
}

async fn ask_office(node: &Node, ask: message::Request, patience: Duration) -> Answer {
    if let Some(reign) = node.term() {
        return reign.answer(ask, patience).await;
    }
    match node.leader() {
        Some(link) => link.call(ask, patience).await,
        None => Answer::no_leader(),
    }
}

async fn submit(node: &Node, queue: &str, id: &str, body: &[u8], patience: Duration) -> Response {
    if id.parse::<Id>().is_err() {
        return job::refused(400, "a job's name is 16 hexadecimal digits", None);
    }
    let spec = match job::decode(body) {
        Ok(spec) => spec,
        Err(error) => return job::refused(400, &format!("malformed job: {error}"), None),
    };
    if let Err(invalid) = spec.validate() {
        return job::refused(400, &invalid.to_string(), None);
    }
    let spec = serde_json::to_vec(&spec).unwrap_or_default();
    let submit = message::Submit { job: id.to_owned(), queue: queue.to_owned(), spec };
    call(node, message::Request::Submit(submit), patience).await
}

async fn cancel(node: &Node, id: &str, patience: Duration) -> Response {
    if id.parse::<Id>().is_err() {
        return job::refused(410, "no such job", None);
    }
    call(node, message::Request::Cancel(id.to_owned()), patience).await
}

/// Tells the state of a job; where nobody in office can be reached, as the store has it.
async fn state(node: &Node, id: &str, patience: Duration) -> Response {
    if id.parse::<Id>().is_err() {
        return job::refused(410, "no such job", None);
    }
    let answer = ask_office(node, message::Request::State(id.to_owned()), patience).await;
    if !matches!(answer, Answer::Refused { .. } | Answer::Unknown) {
        return respond(&answer);
    }
    match node.store.row(rows::PROGRESS, rows::PART, id).await {
        Ok(Some(row)) => match serde_json::from_slice::<Progress>(&row.value) {
            Ok(progress) => job::state(progress.state, !progress.tasks.is_empty()),
            Err(error) => job::refused(500, &format!("progress of the job: {error}"), None),
        },
        Ok(None) => job::refused(410, "no such job", None),
        Err(_) => respond(&answer),
    }
}

fn respond(answer: &Answer) -> Response {
    match answer {
        Answer::Accepted => job::accepted(),
        Answer::Refused { status, reason, retry } => job::refused(*status, reason, *retry),
        Answer::Unknown => job::refused(504, "it is not known what became of it", None),
        Answer::State { state, begun } => job::state(*state, *begun),
        Answer::Missing => job::refused(410, "no such job", None),
        Answer::Count(count) => job::count(*count),
    }
}
