//! Open connections to the platform, used again while they are young.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use fleet::time::Time;
use http::Limits;
use http::Stream;

use crate::rest;

pub(crate) type Connection = http::Connection<Stream>;

/// Most idle connections that are kept.
const IDLE_MAX: usize = 16;

#[derive(Debug, Default)]
struct State {
    /// Idle connections, the latest used last.
    idle: Vec<(Time, Connection)>,
    /// The address to try next, by index.
    address: usize,
}

/// Open connections to the platform.
#[derive(Debug)]
pub(crate) struct Pool {
    addresses: Vec<SocketAddr>,
    longest_idle: Duration,
    state: Mutex<State>,
}

/// A connection for one call.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) connection: Connection,
    /// Whether it was used before: the platform may have closed it meanwhile.
    pub(crate) used: bool,
}

impl Pool {
    pub(crate) fn new(addresses: Vec<SocketAddr>, longest_idle: Duration) -> Self {
        Self { addresses, longest_idle, state: Mutex::default() }
    }

    /// A connection that was used lately, if there is one.
    pub(crate) fn take(&self, now: Time) -> Option<Lease> {
        let mut state = self.lock();
        state.idle.retain(|(since, _)| now.since(*since) < self.longest_idle);
        let (_, connection) = state.idle.pop()?;
        Some(Lease { connection, used: true })
    }

    /// Opens a connection to one address after the other, once each.
    pub(crate) async fn open(&self) -> Result<Lease, http::Error> {
        let limits = Limits { body: rest::OBJECT_BYTES, ..Limits::default() };
        let mut last = http::Error::NotSent("no address of the platform is known".to_owned());
        for _ in 0..self.addresses.len() {
            match Connection::open(self.address(), limits).await {
                Ok(connection) => return Ok(Lease { connection, used: false }),
                Err(error) => last = error,
            }
            self.lock().address += 1;
        }
        Err(last)
    }

    /// Keeps a connection that ended its call well.
    pub(crate) fn give_back(&self, now: Time, lease: Lease) {
        let mut state = self.lock();
        if state.idle.len() < IDLE_MAX {
            state.idle.push((now, lease.connection));
        }
    }

    /// Goes to the next address and forgets the open connections: one did not answer in time, and
    /// what lies between may have lost track of the others too.
    pub(crate) fn turn(&self) {
        let mut state = self.lock();
        state.idle.clear();
        state.address += 1;
    }

    fn address(&self) -> SocketAddr {
        self.addresses[self.lock().address % self.addresses.len()]
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
