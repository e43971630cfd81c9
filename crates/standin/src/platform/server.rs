//! The platform's contract over HTTP and JSON.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use fleet::time::Time;
use futures_lite::FutureExt;
use futures_lite::future;
use http::Limits;
use http::Request;
use http::Response;
use platform::Error;
use platform::instance::List;
use platform::object;
use platform::rest;
use platform::table::Table;
use platform::table::Transaction;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Memory;

/// How long an answer is held back that should come after every client's deadline.
const LATE: Duration = Duration::from_secs(60);

/// A running stand-in of the platform.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddr,
    memory: Memory,
    start: Instant,
}

impl Server {
    /// Listens on `address` and serves `memory` on `executor`.
    pub fn bind(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        memory: Memory,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let this = Self { address, memory, start: clock() };
        executor.spawn(this.clone().accept(Arc::clone(executor), listener)).detach();
        Ok(this)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it serves, with its switches and counters.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    async fn accept(self, executor: Arc<Executor<'static>>, listener: Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            executor.spawn(self.clone().serve(stream)).detach();
        }
    }

    async fn serve(self, stream: Async<std::net::TcpStream>) {
        let Ok(stream) = http::Stream::new(stream) else { return };
        let limits = Limits { body: rest::OBJECT_BYTES, ..Limits::default() };
        let (hang_up, hung_up) = async_channel::bounded(1);
        let serve = async {
            let answer = |request| self.answer(request, hang_up.clone());
            let _ = http::serve(stream, &limits, answer).await;
        };
        let end = async {
            let _ = hung_up.recv().await;
        };
        serve.or(end).await;
    }

    async fn answer(&self, request: Request, hang_up: Sender<()>) -> Response {
        let client = request.headers.get(rest::CLIENT).unwrap_or("unnamed").to_owned();
        let memory = self.memory.client(&client);
        let faults = memory.faults();
        if !faults.latency.is_zero() {
            Timer::after(faults.latency).await;
        }
        let now = clock().saturating_duration_since(self.start);
        memory.tick(Time::ZERO + now);
        let position = memory.reflected().to_string();
        match respond(&memory, &request).await {
            Ok(response) => response.with_header(rest::POSITION, position),
            Err(Error::Unavailable(reason)) if faults.slow => hold(reason).await,
            Err(Error::Unavailable(reason)) => refuse(503, &reason),
            Err(Error::Unknown(reason)) if faults.slow => hold(reason).await,
            Err(Error::Unknown(_)) => {
                let _ = hang_up.try_send(());
                future::pending().await
            }
            Err(Error::Malformed(reason)) => refuse(400, &reason),
        }
    }
}

#[expect(clippy::disallowed_methods, reason = "the stand-in's clock")]
fn clock() -> Instant {
    Instant::now()
}

async fn hold(reason: String) -> Response {
    Timer::after(LATE).await;
    Response::new(504).with_body(reason)
}

fn refuse(status: u16, reason: &str) -> Response {
    Response::new(status).with_header(rest::OUTCOME, rest::NOT_RUN).with_body(reason)
}

async fn respond(memory: &Memory, request: &Request) -> Result<Response, Error> {
    if let Some(name) = request.target.strip_prefix(rest::OBJECT) {
        return respond_object(memory, request, name).await;
    }
    match (request.method.as_str(), request.target.as_str()) {
        ("POST", rest::TABLE_GET) => {
            let get: rest::Get = parse(&request.body)?;
            json(&Table::get(memory, &get.key).await?)
        }
        ("POST", rest::TABLE_SCAN) => {
            let scan: rest::Scan = parse(&request.body)?;
            json(&memory.scan(&scan.prefix, &scan.after, scan.limit).await?)
        }
        ("POST", rest::TABLE_COMMIT) => {
            let transaction: Transaction = parse(&request.body)?;
            json(&memory.commit(&transaction).await?)
        }
        ("POST", rest::TABLE_CHANGES) => {
            let since: rest::Since = parse(&request.body)?;
            json(&memory.changes(&since.prefix, since.position, since.limit).await?)
        }
        ("POST", rest::OBJECT_LIST) => {
            let prefix: rest::Prefix = parse(&request.body)?;
            json(&object::Store::list(memory, &prefix.prefix).await?)
        }
        ("POST", rest::INSTANCE_LIST) => json(&List::list(memory).await?),
        ("POST", rest::INSTANCE_RESTART) => {
            let restart: rest::Restart = parse(&request.body)?;
            json(&memory.restart(&restart.name, &restart.operation).await?)
        }
        _ => Ok(refuse(404, "no such call")),
    }
}

async fn respond_object(memory: &Memory, request: &Request, name: &str) -> Result<Response, Error> {
    if !rest::is_object_name(name) {
        return Ok(refuse(400, "bad object name"));
    }
    match request.method.as_str() {
        "GET" => {
            let body = object::Store::get(memory, name).await?;
            Ok(body.map_or_else(|| refuse(404, "no such object"), |body| whole(&body)))
        }
        "PUT" => {
            object::Store::put(memory, name, &request.body).await?;
            Ok(Response::new(200))
        }
        "DELETE" => {
            object::Store::remove(memory, name).await?;
            Ok(Response::new(200))
        }
        _ => Ok(refuse(405, "no such method")),
    }
}

fn whole(body: &[u8]) -> Response {
    Response::new(200)
        .with_header("content-type", "application/octet-stream")
        .with_body(body.to_vec())
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}

fn json(value: &impl Serialize) -> Result<Response, Error> {
    let body = serde_json::to_vec(value).map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(Response::new(200).with_header("content-type", "application/json").with_body(body))
}
