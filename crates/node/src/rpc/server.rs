//! Serves the calls of other nodes.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use futures_lite::future::yield_now;
use http::Budget;
use http::Stream;
use http::budget::Account;
use http::budget::Member;
use http::budget::Phase;
use prost::Message;
use tokio_util::codec::FramedRead;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use tracing::info;
use tracing::warn;

use super::Answer;
use super::frame;
use super::message::Call;
use super::message::JobState;
use super::message::Ping;
use super::message::Pong;
use super::message::Refused;
use super::message::Reply;
use super::message::Request;
use super::message::Response;
use crate::Node;
use crate::budget;
use crate::budget::Activity;
use crate::clock;
use crate::leader::Decision;
use crate::listener;
use crate::listener::Listener;

/// Maximum number of replies that are queued for one node.
const MAX_QUEUED: usize = 4_096;

/// Number of calls of one node after which other tasks run.
const MAX_BURST: usize = 32;

/// Time without a message after which a node's connection is closed: live nodes send pings.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections of other nodes for as long as the process runs.
///
/// # Errors
///
/// The node's rpc address can't be bound.
pub async fn run(node: Rc<Node>) -> io::Result<()> {
    let settings = node.settings();
    let budget = Budget::open(listener::peers(&settings));
    let listener = Listener::bind(settings.rpc, budget, "peer")?;
    loop {
        let (stream, member) = listener.accept().await;
        node.spawn_contained(Activity::Rpc, serve(Rc::clone(&node), stream, member));
    }
}

async fn serve(node: Rc<Node>, stream: Stream, member: Member) {
    let (replies, queue) = async_channel::unbounded();
    node.add_peer(replies.clone());
    let writer = stream.clone();
    let writing = async {
        if let Err(error) = frame::write(writer, queue).await {
            info!(event = "link", state = "broken", from = "peer", %error);
        }
    };
    let reading = read(node, stream, &member, replies);
    writing.or(reading).or(member.leave()).await;
}

async fn read(node: Rc<Node>, stream: Stream, member: &Member, replies: Sender<Reply>) {
    let mut frames = FramedRead::new(stream.compat(), frame::codec(frame::MAX_CALL_BYTES));
    let mut answered: usize = 0;
    loop {
        let idle = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let Some(Ok(bytes)) = frames.next().or(idle).await else { return };
        budget::record_received(bytes.len());
        // The node that has been silent for longest gives way if there are too many.
        member.enter(Phase::Idle);
        let Ok(call) = Call::decode(bytes) else { return };
        let Some(request) = call.ask else { return };
        if let Request::Ping(ping) = request {
            node.record_peer(f64::from(ping.share) / 1_000.0, clock::now());
            let tell = Some(Response::Pong(pong(&node, ping)));
            if replies.try_send(Reply { id: call.id, tell }).is_err() {
                return;
            }
            continue;
        }
        let timeout = Duration::from_millis(call.patience_ms);
        let term = node.term();
        let decision = term.as_ref().map(|term| match node.admit(call.caller.as_ref()) {
            Ok(tenant) => term.decide(request, tenant.as_deref()),
            Err(refusal) => Decision::Answered(refusal.into()),
        });
        match (term, decision) {
            // What has to wait becomes a task of its own, so that others don't wait behind it.
            (Some(term), Some(decision @ (Decision::Storing(_) | Decision::Unconfirmed))) => {
                let replies = replies.clone();
                node.spawn_contained(Activity::Rpc, async move {
                    reply(&replies, call.id, term.carry_out(decision, timeout).await);
                });
            }
            (_, Some(Decision::Answered(answer))) => reply(&replies, call.id, answer),
            _ => reply(&replies, call.id, Answer::no_leader()),
        }
        answered += 1;
        if answered.is_multiple_of(MAX_BURST) {
            yield_now().await;
        }
    }
}

/// Queues the reply to a call.
fn reply(replies: &Sender<Reply>, id: u64, answer: Answer) {
    if replies.len() >= MAX_QUEUED {
        warn!(event = "link", state = "congested", from = "peer");
        return;
    }
    // Fails only if the connection has ended.
    let _ = replies.try_send(Reply { id, tell: Some(encode(answer)) });
}

fn pong(node: &Node, ping: Ping) -> Pong {
    let version = node.config().version;
    let wants_copy = version > ping.config && !ping.reads_store;
    let config = if wants_copy { node.encoded_config() } else { Bytes::new() };
    if wants_copy {
        budget::record_copy(config.len());
    }
    let term = node.term();
    let stalled = term.as_ref().map(|term| term.write_stall(clock::now()));
    let stalled_ms = stalled.unwrap_or_default().as_millis() as u64;
    let unconfirmed = node.confirmation_age(clock::now());
    let unconfirmed_ms = unconfirmed.map(|age| age.as_millis() as u64);
    Pong { reigns: term.is_some(), config, stalled_ms, version, unconfirmed_ms }
}

fn encode(answer: Answer) -> Response {
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
