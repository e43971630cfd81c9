//! A running peer: the membership on sockets.
//!
//! * `gossip`: datagrams in and out.
//! * `pull`: documents from peers, over TCP.
//! * `serve`: documents to peers.

mod gossip;
mod pull;
mod serve;

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use fleet::config::Revision;
use fleet::time::Time;
use sha2::Digest;
use sha2::Sha256;
use wire::Key;

use crate::Counters;
use crate::Document;
use crate::Member;
use crate::Settings;
use crate::Spread;
use crate::Summary;
use crate::clock;
use crate::membership::Identity;
use crate::membership::Membership;
use crate::membership::Offered;

/// Attempts to find a port that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 16;
/// How often [`Peer::catch_up`] looks.
const CATCH_UP_STEP: Duration = Duration::from_millis(20);

/// A running peer. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Peer {
    shared: Arc<Shared>,
    tasks: Arc<Mutex<Vec<Task<()>>>>,
}

/// What the handles and the tasks of a peer share.
#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    socket: Async<UdpSocket>,
    state: Mutex<State>,
    adopting: Sender<Document>,
    adopted: Receiver<Document>,
    /// Wakes the puller.
    news: Sender<()>,
    /// Wakes the ticker.
    urgent: Sender<()>,
}

#[derive(Debug)]
struct State {
    membership: Membership,
    keys: Vec<Key>,
    origin: std::time::Instant,
    offered: Option<Served>,
    counters: Counters,
}

/// Documents that are served to peers.
#[derive(Clone, Debug)]
struct Served {
    revision: Revision,
    documents: Arc<str>,
    digest: [u8; 32],
}

impl Served {
    fn new(revision: Revision, documents: Arc<str>) -> Self {
        let digest = Sha256::digest(documents.as_bytes()).into();
        Self { revision, documents, digest }
    }

    fn offered(&self) -> Offered {
        Offered { revision: self.revision, digest: short(&self.digest) }
    }
}

/// The part of a digest that is gossiped.
fn short(digest: &[u8; 32]) -> u64 {
    let (start, _) = digest.split_at(8);
    u64::from_be_bytes(start.try_into().unwrap_or_default())
}

/// What a new entry has heard from its peers; see [`Peer::catch_up`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{answered} answered, revision {revision}, enough {enough}")]
pub struct CaughtUp {
    /// Peers that spoke to it.
    pub answered: usize,
    /// The highest revision it has by now.
    pub revision: Revision,
    /// Whether enough peers answered within the bound, and all that they serve is here.
    pub enough: bool,
}

impl Peer {
    /// Listens on [`Settings::bind`] and joins its peers on `executor`.
    pub fn bind(executor: &Arc<Executor<'static>>, settings: Settings) -> io::Result<Self> {
        if settings.keys.is_empty() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "no key to sign frames with"));
        }
        let (listener, socket) = bind_both(settings.bind)?;
        let address = socket.local_addr()?;
        let socket = Async::new(socket)?;
        let listener = Async::new(listener)?;
        let own = Identity {
            name: settings.name,
            region: settings.region,
            data_centre: settings.data_centre,
            incarnation: clock::incarnation(),
            address,
        };
        let now = clock::now(settings.origin);
        let seed = own.incarnation ^ u64::from(address.port());
        let membership = Membership::new(own, settings.seeds, settings.beyond, now, seed);
        let state = State {
            membership,
            keys: settings.keys,
            origin: settings.origin,
            offered: None,
            counters: Counters::default(),
        };
        let (adopting, adopted) = async_channel::unbounded();
        let (news, new) = async_channel::bounded(1);
        let (urgent, woken) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            address,
            socket,
            state: Mutex::new(state),
            adopting,
            adopted,
            news,
            urgent,
        });
        let tasks = vec![
            executor.spawn(gossip::tick(Arc::clone(&shared), woken)),
            executor.spawn(gossip::receive(Arc::clone(&shared))),
            executor.spawn(pull::run(Arc::clone(&shared), new)),
            executor.spawn(serve::run(Arc::clone(&shared), Arc::clone(executor), listener)),
        ];
        Ok(Self { shared, tasks: Arc::new(Mutex::new(tasks)) })
    }

    /// Where its frames come in.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Rises with each start of a process of this name; what its frames carry.
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().membership.identity().incarnation
    }

    /// What it sent, heard and refused so far.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters.clone()
    }

    /// Signs with the first of these keys from now on, and takes frames that any of them signed.
    /// An empty list changes nothing.
    pub fn rotate(&self, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.shared.lock().keys = keys;
        }
    }

    /// Waits until `enough` peers spoke and all that they serve is here, or until `bound` has
    /// passed: an entry that starts while the store is out is not to serve less than its peers.
    pub async fn catch_up(&self, enough: usize, bound: Duration) -> CaughtUp {
        let start = self.shared.now();
        loop {
            let caught_up = self.shared.caught_up(enough);
            if caught_up.enough || self.shared.now().since(start) >= bound {
                return caught_up;
            }
            Timer::after(CATCH_UP_STEP).await;
        }
    }

    /// Stops at once, with no word to the peers: as if the process ended.
    pub fn stop(&self) {
        self.tasks.lock().expect("no holder panics").clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn now(&self) -> Time {
        clock::now(self.lock().origin)
    }

    fn caught_up(&self, enough: usize) -> CaughtUp {
        let now = self.now();
        let mut state = self.lock();
        let answered = state.membership.answered();
        let behind = state.membership.source(now).is_some();
        let revision = state.offered.as_ref().map(|served| served.revision).unwrap_or_default();
        CaughtUp { answered, revision, enough: answered >= enough && !behind }
    }

    /// Serves these documents from now on, if they are higher. Returns whether they are.
    fn raise(&self, revision: Revision, documents: &Arc<str>) -> bool {
        let served = Served::new(revision, Arc::clone(documents));
        let mut state = self.lock();
        let higher = state.offered.as_ref().is_none_or(|known| known.revision < revision);
        if higher {
            state.membership.offer(served.offered());
            state.offered = Some(served);
        }
        drop(state);
        if higher {
            self.wake();
        }
        higher
    }

    fn wake(&self) {
        let _ = self.urgent.try_send(());
    }
}

impl Spread for Peer {
    fn publish(&self, summary: Summary) {
        self.shared.lock().membership.publish(summary);
        self.shared.wake();
    }

    fn members(&self, now: Time) -> Vec<Member> {
        self.shared.lock().membership.members(now)
    }

    fn offer(&self, revision: Revision, documents: Arc<str>) {
        self.shared.raise(revision, &documents);
    }

    fn adopted(&self) -> Receiver<Document> {
        self.shared.adopted.clone()
    }

    fn seed(&self, addresses: Vec<SocketAddr>) {
        self.shared.lock().membership.seed(addresses);
    }

    fn leave(&self) {
        let now = self.shared.now();
        let out = self.shared.lock().membership.leave(now);
        self.shared.send(out);
    }
}

/// Binds the same port for TCP and UDP.
fn bind_both(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || attempt == BIND_ATTEMPTS => return Err(error),
            Err(_) => {}
        }
    }
}
