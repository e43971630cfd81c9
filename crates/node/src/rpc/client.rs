//! A node's connection to the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use http::Stream;
use prost::Message;
use scheduler::job::State;
use tokio_util::codec::FramedRead;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use tracing::info;

use super::Answer;
use super::frame;
use super::message::Call;
use super::message::Caller;
use super::message::Ping;
use super::message::Pong;
use super::message::Reply;
use super::message::Request;
use super::message::Response;
use super::message::UNSOLICITED;
use crate::Node;
use crate::clock;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Time without an answer to a ping after which the connection counts as lost: two ping intervals.
const PING_TIMEOUT: Duration = Duration::from_millis(700);

/// The same for a ping that asks for a copy of the configuration, which takes long on a slow link.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time without a completed write after which a leader should be replaced by a node that reaches
/// the store: long enough for two of the leader's attempts to write.
const MAX_STALL: Duration = Duration::from_millis(1_200);

/// Maximum number of calls that are queued for writing.
const MAX_QUEUED: usize = 4_096;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum End {
    /// The connection could not be established or broke, or the other node no longer answered
    /// pings.
    #[display("lost")]
    Lost,
    /// The address refuses connections: the process of the other node has ended.
    #[display("gone")]
    Gone,
    /// The other node answered that it is not the leader.
    #[display("not-in-office")]
    NotLeader,
    /// The other node has been unable to write to the store for longer than [`MAX_STALL`], and this
    /// node reaches the store.
    #[display("stalled")]
    Stalled,
}

async fn connect(address: SocketAddr) -> io::Result<Stream> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    Stream::open(address).or(timeout).await
}

/// Whether `address` refuses connections, which means that its process has ended.
pub async fn is_gone(address: SocketAddr) -> bool {
    let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connect(address).await.is_err_and(refused)
}

/// A node's connection to the leader.
#[derive(Debug)]
pub struct Client {
    /// Whether the other node has confirmed that it is the leader.
    open: Cell<bool>,
    next_id: Cell<u64>,
    /// Calls without a reply, by id.
    pending: RefCell<BTreeMap<u64, Sender<Reply>>>,
    /// Calls to be written.
    calls: Sender<Call>,
}

impl Client {
    /// Connects to the node at `address`, and sends calls to it until the connection ends.
    pub async fn run(node: Rc<Node>, address: SocketAddr) -> End {
        let stream = match connect(address).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return End::Gone,
            Err(_) => return End::Lost,
        };
        let (calls, queue) = async_channel::unbounded();
        let client = Rc::new(Self {
            open: Cell::new(false),
            next_id: Cell::new(1),
            pending: RefCell::default(),
            calls,
        });
        let writer = stream.clone();
        let writing = async {
            if let Err(error) = frame::write(writer, queue).await {
                info!(event = "link", state = "broken", %address, %error);
            }
            End::Lost
        };
        let reading = client.read(stream);
        let pinging = client.ping(&node);
        let end = writing.or(reading).or(pinging).await;
        client.open.set(false);
        client.pending.borrow_mut().clear();
        node.leader.borrow_mut().take_if(|current| Rc::ptr_eq(current, &client));
        info!(event = "link", state = "closed", %address, reason = %end);
        end
    }

    /// Whether the connection is established, and the other node has confirmed that it is the
    /// leader.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    async fn read(&self, stream: Stream) -> End {
        let mut frames = FramedRead::new(stream.compat(), frame::codec(frame::MAX_REPLY_BYTES));
        while let Some(Ok(bytes)) = frames.next().await {
            let Ok(reply) = Reply::decode(bytes) else { return End::Lost };
            if reply.id == UNSOLICITED {
                return End::NotLeader;
            }
            let pending = self.pending.borrow_mut().remove(&reply.id);
            if let Some(caller) = pending {
                // Fails only if the caller has stopped waiting.
                let _ = caller.try_send(reply);
            }
        }
        End::Lost
    }

    async fn ping(self: &Rc<Self>, node: &Rc<Node>) -> End {
        loop {
            let config = node.config().version;
            let share = (node.settings().cpu_share * 1_000.0) as u32;
            let reads_store = !node.needs_config_copy(clock::now());
            let timeout = if reads_store { PING_TIMEOUT } else { COPY_TIMEOUT };
            let asked = clock::now();
            let ping = Request::Ping(Ping { config, share, reads_store });
            let pong = self.send(ping, None, timeout).await;
            let Some(Reply { tell: Some(Response::Pong(pong)), .. }) = pong else {
                return End::Lost;
            };
            let Pong { reigns: leads, config: json, stalled_ms, version, unconfirmed_ms } = pong;
            if let Ok(config) = serde_json::from_slice(&json) {
                node.configure(config, "peer");
            }
            node.record_peer_config(version, clock::now());
            if let Some(unconfirmed_ms) = unconfirmed_ms
                && node.config().version >= version
            {
                node.confirm_config(asked - Duration::from_millis(unconfirmed_ms));
            }
            if !leads {
                return End::NotLeader;
            }
            if Duration::from_millis(stalled_ms) > MAX_STALL && node.reaches_store().await {
                return End::Stalled;
            }
            if !self.open.replace(true) {
                info!(event = "link", state = "open");
                *node.leader.borrow_mut() = Some(Rc::clone(self));
            }
            Timer::after(PING_INTERVAL).await;
        }
    }

    async fn send(
        &self,
        request: Request,
        caller: Option<Caller>,
        timeout: Duration,
    ) -> Option<Reply> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver): (_, Receiver<Reply>) = async_channel::bounded(1);
        self.pending.borrow_mut().insert(id, sender);
        let patience_ms = timeout.as_millis() as u64;
        let call = Call { id, patience_ms, ask: Some(request), caller };
        let sent = self.calls.len() < MAX_QUEUED && self.calls.try_send(call).is_ok();
        let expired = async {
            Timer::after(timeout).await;
            None
        };
        let reply =
            if sent { async { receiver.recv().await.ok() }.or(expired).await } else { None };
        self.pending.borrow_mut().remove(&id);
        reply
    }

    /// Sends a caller's request to the leader. The answer is [`Answer::Unknown`] if none comes within
    /// `timeout`.
    pub async fn call(
        &self,
        request: Request,
        caller: Option<Caller>,
        timeout: Duration,
    ) -> Answer {
        if !self.open.get() {
            return Answer::no_leader();
        }
        let response = self.send(request, caller, timeout).await.and_then(|reply| reply.tell);
        match response {
            Some(Response::Accepted(_)) => Answer::Accepted,
            Some(Response::Refused(refused)) => Answer::Refused {
                status: refused.status as u16,
                reason: refused.reason,
                retry: (refused.retry_ms > 0).then(|| Duration::from_millis(refused.retry_ms)),
            },
            Some(Response::State(state)) => Answer::State {
                begun: state.begun,
                state: match state.state {
                    0 => State::Storing,
                    1 => State::Active,
                    2 => State::Completed,
                    3 => State::Failed,
                    _ => State::Cancelled,
                },
            },
            Some(Response::Missing(_)) => Answer::Missing,
            Some(Response::Count(count)) => Answer::Count(count),
            Some(Response::Unknown(_) | Response::Pong(_)) | None => Answer::Unknown,
        }
    }
}
