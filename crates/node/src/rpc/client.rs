//! A door's connection to the node in office.

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
use super::message::Ping;
use super::message::Pong;
use super::message::Reply;
use super::message::Request;
use super::message::Response;
use super::message::UNSOLICITED;
use crate::Node;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two signs of life.
const PING: Duration = Duration::from_millis(300);

/// Silence after which the node in office is taken to be gone: two signs of life.
const SILENCE: Duration = Duration::from_millis(700);

/// Time without a write after which a node in office should make way for one that reaches the
/// store: two of its attempts.
const STALL: Duration = Duration::from_millis(1_200);

/// Calls that wait to be written, at most.
const MAX_WAITING: usize = 4_096;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum End {
    /// It could not be made, broke, or went silent.
    #[display("lost")]
    Lost,
    /// Nobody listens there: the other process has ended.
    #[display("gone")]
    Gone,
    /// The other node says that it is not in office.
    #[display("not-in-office")]
    NotLeader,
    /// The other node has not been able to write to the store for a while, and this one reaches
    /// the store.
    #[display("stalled")]
    Stalled,
}

async fn connect(address: SocketAddr) -> io::Result<Stream> {
    let late = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    Stream::open(address).or(late).await
}

/// Whether nobody listens at `address` any more.
pub async fn is_gone(address: SocketAddr) -> bool {
    let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connect(address).await.is_err_and(refused)
}

/// A door's connection to the node in office.
#[derive(Debug)]
pub struct Client {
    open: Cell<bool>,
    next: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, Sender<Reply>>>,
    out: Sender<Call>,
}

impl Client {
    /// Connects to the node at `address` and serves calls until the connection ends.
    pub async fn run(node: Rc<Node>, address: SocketAddr) -> End {
        let stream = match connect(address).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return End::Gone,
            Err(_) => return End::Lost,
        };
        let (out, queue) = async_channel::unbounded();
        let client = Rc::new(Self {
            open: Cell::new(false),
            next: Cell::new(1),
            waiting: RefCell::default(),
            out,
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
        client.waiting.borrow_mut().clear();
        node.link.borrow_mut().take_if(|link| Rc::ptr_eq(link, &client));
        info!(event = "link", state = "closed", %address, reason = %end);
        end
    }

    /// Whether the node in office has lately answered over it.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    async fn read(&self, stream: Stream) -> End {
        let mut frames = FramedRead::new(stream.compat(), frame::codec());
        while let Some(Ok(bytes)) = frames.next().await {
            let Ok(reply) = Reply::decode(bytes) else { return End::Lost };
            if reply.id == UNSOLICITED {
                return End::NotLeader;
            }
            let waiting = self.waiting.borrow_mut().remove(&reply.id);
            if let Some(waiting) = waiting {
                // The caller may have left.
                let _ = waiting.try_send(reply);
            }
        }
        End::Lost
    }

    async fn ping(self: &Rc<Self>, node: &Rc<Node>) -> End {
        loop {
            let config = node.config().version;
            let share = (node.settings().cpu_share * 1_000.0) as u32;
            let pong = self.ask(Request::Ping(Ping { config, share }), SILENCE).await;
            let Some(Reply { tell: Some(Response::Pong(pong)), .. }) = pong else {
                return End::Lost;
            };
            let Pong { reigns, config, stalled_ms } = pong;
            if let Ok(config) = serde_json::from_slice(&config) {
                node.configure(config, "peer");
            }
            if !reigns {
                return End::NotLeader;
            }
            if Duration::from_millis(stalled_ms) > STALL && node.reaches_store().await {
                return End::Stalled;
            }
            if !self.open.replace(true) {
                info!(event = "link", state = "open");
                *node.link.borrow_mut() = Some(Rc::clone(self));
            }
            Timer::after(PING).await;
        }
    }

    async fn ask(&self, ask: Request, patience: Duration) -> Option<Reply> {
        let id = self.next.get();
        self.next.set(id + 1);
        let (sender, receiver): (_, Receiver<Reply>) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(id, sender);
        let patience_ms = patience.as_millis() as u64;
        let call = Call { id, patience_ms, ask: Some(ask) };
        let sent = self.out.len() < MAX_WAITING && self.out.try_send(call).is_ok();
        let late = async {
            Timer::after(patience).await;
            None
        };
        let reply = if sent { async { receiver.recv().await.ok() }.or(late).await } else { None };
        self.waiting.borrow_mut().remove(&id);
        reply
    }

    /// Asks the node in office; [`Answer::Unknown`] where it does not answer.
    pub async fn call(&self, ask: Request, patience: Duration) -> Answer {
        if !self.open.get() {
            return Answer::no_leader();
        }
        let tell = self.ask(ask, patience).await.and_then(|reply| reply.tell);
        match tell {
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
