//! Answers the calls of other nodes.

use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use http::Stream;
use prost::Message;
use tokio_util::codec::FramedRead;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use tracing::info;
use tracing::warn;

use super::Answer;
use super::frame;
use super::message::Call;
use super::message::JobState;
use super::message::Pong;
use super::message::Refused;
use super::message::Reply;
use super::message::Request;
use super::message::Response;
use crate::Node;
use crate::clock;

/// Replies that wait to be written to one node, at most.
const MAX_WAITING: usize = 4_096;

/// Silence after which a node's connection is given up: it sends signs of life.
const SILENCE: Duration = Duration::from_secs(5);

/// Pause after a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes connections of other nodes for as long as the process runs.
pub async fn run(node: Rc<Node>) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(node.settings().peer)?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve(Rc::clone(&node), stream);
                node.spawn(serving);
            }
            Err(error) => {
                warn!(event = "accept", from = "peer", %error);
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn serve(node: Rc<Node>, stream: Async<TcpStream>) {
    let Ok(stream) = Stream::new(stream) else { return };
    let (out, queue) = async_channel::unbounded();
    node.add_peer(out.clone());
    let writer = stream.clone();
    let writing = async {
        if let Err(error) = frame::write(writer, queue).await {
            info!(event = "link", state = "broken", from = "peer", %error);
        }
    };
    let reading = read(node, stream, out);
    writing.or(reading).await;
}

async fn read(node: Rc<Node>, stream: Stream, out: Sender<Reply>) {
    let mut frames = FramedRead::new(stream.compat(), frame::codec());
    loop {
        let late = async {
            Timer::after(SILENCE).await;
            None
        };
        let Some(Ok(bytes)) = frames.next().or(late).await else { return };
        let Ok(call) = Call::decode(bytes) else { return };
        let Some(ask) = call.ask else { return };
        if let Request::Ping(ping) = ask {
            node.record_peer(f64::from(ping.share) / 1_000.0, clock::now());
            let tell = Some(Response::Pong(pong(&node, ping.config)));
            if out.try_send(Reply { id: call.id, tell }).is_err() {
                return;
            }
            continue;
        }
        let (node, out) = (Rc::clone(&node), out.clone());
        let patience = Duration::from_millis(call.patience_ms);
        let task = Rc::clone(&node);
        task.spawn(async move {
            let answer = answer(&node, ask, patience).await;
            if out.len() >= MAX_WAITING {
                warn!(event = "link", state = "congested", from = "peer");
                return;
            }
            // The other node may be gone.
            let _ = out.try_send(Reply { id: call.id, tell: Some(tell(answer)) });
        });
    }
}

fn pong(node: &Node, version: u64) -> Pong {
    let own = node.config();
    let config = if own.version > version {
        serde_json::to_vec(&*own).unwrap_or_default()
    } else {
        Vec::new()
    };
    let reign = node.term();
    let stalled = reign.as_ref().map(|reign| reign.stalled(clock::now()));
    let stalled_ms = stalled.unwrap_or_default().as_millis() as u64;
    Pong { reigns: reign.is_some(), config, stalled_ms }
}

async fn answer(node: &Node, ask: Request, patience: Duration) -> Answer {
    match node.term() {
        Some(reign) => reign.answer(ask, patience).await,
        None => Answer::no_leader(),
    }
}

fn tell(answer: Answer) -> Response {
    match answer {
        Answer::Accepted => Response::Accepted(true),
        Answer::Refused { status, reason, retry } => Response::Refused(Refused {
            status: u32::from(status),
            reason,
            retry_ms: retry.map_or(0, |retry| retry.as_millis() as u64),
        }),
        Answer::Unknown => Response::Unknown(true),
        Answer::State { state, begun } => Response::State(JobState { state: state as u32, begun }),
        Answer::Missing => Response::Missing(true),
        Answer::Count(count) => Response::Count(count),
    }
}
