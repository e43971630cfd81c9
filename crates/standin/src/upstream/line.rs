//! One connection to an upstream.

use std::net::TcpStream;
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http::Limits;
use http::Request;
use http::Response;
use http::Stream;

use super::Oddity;
use super::Upstream;
use super::contract;

/// How long after the first answer the second one comes.
const TWICE: Duration = Duration::from_millis(2);

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";

/// Serves one connection until it ends, goes silent or is crashed.
pub(super) async fn run(upstream: Upstream, stream: Async<TcpStream>) {
    let _counted = Counted::new(&upstream);
    let silenced = upstream.lock().lines.silenced();
    let crashed = upstream.lock().lines.crashed();
    let full = upstream.lock().connections > upstream.settings.connections;
    if full {
        return;
    }
    let Ok(stream) = Stream::new(stream) else { return };
    let served = async {
        serve(&upstream, stream.clone()).await;
        false
    };
    let silenced = async {
        let _ = silenced.recv().await;
        true
    };
    let crashed = async {
        let _ = crashed.recv().await;
        false
    };
    if served.or(silenced).or(crashed).await {
        // It stays open: whoever sends on it gets neither an answer nor an error.
        let crashed = upstream.lock().lines.crashed();
        let _ = crashed.recv().await;
        drop(stream);
    }
}

async fn serve(upstream: &Upstream, stream: Stream) {
    let (hang_up, hung_up) = async_channel::bounded(1);
    if upstream.lock().faults.oddity == Some(Oddity::Early) {
        let _ = stream.clone().write_all(OK).await;
    }
    let line = Line { upstream, stream: stream.clone(), hang_up };
    let limits = Limits { body: 16 << 20, ..Limits::default() };
    let serving = async {
        let _ = http::serve(stream, &limits, |request| line.run(request)).await;
    };
    let end = async {
        let _ = hung_up.recv().await;
    };
    serving.or(end).await;
}

struct Line<'upstream> {
    upstream: &'upstream Upstream,
    stream: Stream,
    hang_up: Sender<()>,
}

impl Line<'_> {
    async fn run(&self, request: Request) -> Response {
        let upstream = self.upstream;
        let now = upstream.now();
        if let Some(response) = contract::answer(upstream, now, &request) {
            return response;
        }
        let id = request.headers.get("knapweedsail-request-id").unwrap_or("none").to_owned();
        if !upstream.lock().begin(now, upstream.settings, &request) {
            return Response::new(503)
                .with_header("knapweedsail-request-id", id)
                .with_header("knapweedsail-outcome", "not-run");
        }
        let slot = Slot::new(upstream);
        let faults = upstream.lock().faults;
        if faults.fails_fast {
            return Response::new(500).with_header("knapweedsail-request-id", id);
        }
        let work = Duration::from_millis(upstream.settings.work_ms) + faults.slower;
        if !work.is_zero() {
            Timer::after(work).await;
        }
        drop(slot);
        let answer = Response::new(200).with_header("knapweedsail-request-id", id.as_str());
        match faults.oddity {
            None => answer.with_body(request.body),
            Some(oddity) => self.oddly(oddity, answer, request.body).await,
        }
    }

    async fn oddly(&self, oddity: Oddity, answer: Response, body: Vec<u8>) -> Response {
        match oddity {
            Oddity::Early => {}
            Oddity::Twice => {
                let mut stream = self.stream.clone();
                let again = async move {
                    Timer::after(TWICE).await;
                    let _ = stream.write_all(OK).await;
                };
                self.upstream.executor.spawn(again).detach();
            }
            Oddity::WrongId => {
                let answer = Response::new(200).with_body(body);
                return answer.with_header("knapweedsail-request-id", "another");
            }
            Oddity::HalfBody => {
                self.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf").await;
                return self.close().await;
            }
            Oddity::Closes => return self.close().await,
            Oddity::Silent => return std::future::pending().await,
            Oddity::TwoLengths => {
                let head =
                    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n";
                self.write(&[head.as_slice(), b"\r\n3\r\nabc\r\n0\r\n\r\n"].concat()).await;
                return std::future::pending().await;
            }
            Oddity::Endless => {
                self.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
                while self.stream.clone().write_all(b"4\r\nmore\r\n").await.is_ok() {}
                return self.close().await;
            }
        }
        answer.with_body(body)
    }

    async fn write(&self, bytes: &[u8]) {
        let _ = self.stream.clone().write_all(bytes).await;
    }

    async fn close(&self) -> Response {
        let _ = self.hang_up.try_send(());
        std::future::pending().await
    }
}

/// A slot that is taken; it is free again when this is dropped.
struct Slot<'upstream> {
    upstream: &'upstream Upstream,
    boot: u64,
}

impl<'upstream> Slot<'upstream> {
    fn new(upstream: &'upstream Upstream) -> Self {
        Self { upstream, boot: upstream.lock().boot }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        if state.boot == self.boot {
            state.busy = state.busy.saturating_sub(1);
        }
    }
}

/// Counts a connection while it lives.
struct Counted {
    upstream: Upstream,
    boot: u64,
}

impl Counted {
    fn new(upstream: &Upstream) -> Self {
        let mut state = upstream.lock();
        state.connect();
        Self { upstream: upstream.clone(), boot: state.boot }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        if state.boot == self.boot {
            state.connections = state.connections.saturating_sub(1);
        }
    }
}
