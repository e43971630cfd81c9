//! A running peer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use fleet::config::Revision;
use fleet::time::Time;

use crate::Counters;
use crate::Document;
use crate::Member;
use crate::Settings;
use crate::Spread;
use crate::Summary;

/// A running peer. Clones are handles to the same one.
#[derive(Clone, Debug)]
pub struct Peer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    state: Mutex<State>,
    _adopting: Sender<Document>,
    adopted: Receiver<Document>,
    _socket: Async<std::net::UdpSocket>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    summary: Summary,
    offered: Option<Document>,
    counters: Counters,
}

impl Peer {
    /// Listens on [`Settings::bind`] and joins its peers on `executor`.
    pub fn bind(_executor: &Arc<Executor<'static>>, settings: Settings) -> io::Result<Self> {
        let socket = Async::<std::net::UdpSocket>::bind(settings.bind)?;
        let address = socket.get_ref().local_addr()?;
        let (adopting, adopted) = async_channel::unbounded();
        let state = Mutex::new(State {
            settings,
            summary: Summary::default(),
            offered: None,
            counters: Counters::default(),
        });
        let shared = Shared { address, state, _adopting: adopting, adopted, _socket: socket };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Where its frames come in.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// What it sent, heard and refused so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }
}

impl Spread for Peer {
    fn publish(&self, summary: Summary) {
        self.lock().summary = summary;
    }

    fn members(&self, _now: Time) -> Vec<Member> {
        Vec::new()
    }

    fn offer(&self, revision: Revision, documents: Arc<str>) {
        let mut state = self.lock();
        let higher = state.offered.as_ref().is_none_or(|(known, _)| *known < revision);
        if higher {
            state.offered = Some((revision, documents));
        }
    }

    fn adopted(&self) -> Receiver<Document> {
        self.shared.adopted.clone()
    }

    fn seed(&self, addresses: Vec<SocketAddr>) {
        self.lock().settings.seeds = addresses;
    }

    fn leave(&self) {}
}
