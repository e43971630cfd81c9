//! Accepts connections within a budget, and how much of the process each kind of them may take up.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use adapter::Settings;
use async_io::Async;
use async_io::Timer;
use http::Budget;
use http::Limits;
use http::Stream;
use http::budget::Capacity;
use http::budget::Member;
use tracing::warn;

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// What the kernel may keep in each direction of a connection, in bytes. Longer messages take several
/// round trips.
pub const KERNEL_BYTES: usize = 16 << 10;

/// Memory of the program itself, and of its calls to the store and to instances, in bytes.
const PROGRAM_BYTES: usize = 16 << 20;

/// Descriptors that connections don't use: files, and what the runtime opens.
const RESERVED_DESCRIPTORS: usize = 200;

/// What readiness probes and readers of metrics may hold: there are few, and their requests are short.
pub const PROBES: Capacity = Capacity { bytes: 256 << 10, connections: 16 };

/// Limits on the requests of probes.
pub const PROBE_LIMITS: Limits = Limits {
    head: 8 << 10,
    fields: 64,
    body: 1 << 10,
    message: Duration::from_secs(10),
    idle: Duration::from_secs(60),
};

/// Memory that is not the program's own.
const fn spare_memory(settings: &Settings) -> usize {
    settings.memory.saturating_sub(PROGRAM_BYTES)
}

/// What callers may hold: an eighth of the spare memory for their messages, another quarter for what the
/// kernel keeps of their connections, and three fifths of the descriptors. The rest is for the jobs of a
/// leader and its connections to instances.
pub fn callers(settings: &Settings) -> Capacity {
    let memory = spare_memory(settings);
    let descriptors = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let connections = (descriptors / 5 * 3).min(memory / 4 / KERNEL_BYTES);
    Capacity { bytes: memory / 8, connections: connections.max(1) }
}

/// How many connections of other nodes there may be: one for each node of a large site, an eighth of the
/// descriptors. Their messages are bounded one by one.
pub fn peers(settings: &Settings) -> Capacity {
    let descriptors = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    Capacity { bytes: spare_memory(settings) / 8, connections: (descriptors / 8).max(1) }
}

/// Memory that the jobs of a leader may take up: half of the spare memory, which leaves an eighth for what
/// is not bounded here.
pub const fn job_memory(settings: &Settings) -> usize {
    spare_memory(settings) / 2
}

/// A listener whose connections share a budget.
#[derive(Debug)]
pub struct Listener {
    listener: Async<TcpListener>,
    budget: Budget,
    from: &'static str,
}

impl Listener {
    /// Listens at `address`; `from` says in logs who connects.
    ///
    /// # Errors
    ///
    /// `address` can't be bound.
    pub fn bind(address: SocketAddr, budget: Budget, from: &'static str) -> io::Result<Self> {
        Ok(Self { listener: Async::<TcpListener>::bind(address)?, budget, from })
    }

    /// Lets the kernel keep no more than [`KERNEL_BYTES`] in each direction of a connection.
    pub fn bounded(self) -> Self {
        if let Err(error) = Stream::bound_buffers(self.listener.get_ref(), KERNEL_BYTES) {
            warn!(event = "listen", from = self.from, %error);
        }
        self
    }

    /// Waits for a connection, after another one has given way if there are too many.
    pub async fn accept(&self) -> (Stream, Member) {
        loop {
            self.budget.vacancy().await;
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    if let Ok(stream) = Stream::new(stream) {
                        return (stream, self.budget.join());
                    }
                }
                Err(error) => {
                    warn!(event = "accept", from = self.from, %error);
                    Timer::after(ACCEPT_RETRY).await;
                }
            }
        }
    }
}
