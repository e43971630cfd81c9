//! Pools of idle connections to upstreams, and rules for their reuse.
//!
//! docs/design/connections.md gives the reasons.

use std::time::Duration;

use fleet::time::Time;

/// Connections that have been idle for longer are closed.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// A request that must not run twice may reuse a connection that has been idle for at most this
/// long: a middlebox such as a NAT or firewall may have dropped the state of an older one.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_secs(1);

/// The idle connections to one upstream.
#[derive(Debug)]
pub struct Idle<C> {
    connections: Vec<Kept<C>>,
    generation: u64,
}

#[derive(Debug)]
struct Kept<C> {
    connection: C,
    idle_since: Time,
}

/// Tells connections that were opened before the last [`Idle::invalidate`] from later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation(u64);

impl<C> Default for Idle<C> {
    fn default() -> Self {
        Self { connections: Vec::new(), generation: 0 }
    }
}

impl<C> Idle<C> {
    /// The generation of a connection that is opened now.
    pub fn generation(&self) -> Generation {
        Generation(self.generation)
    }

    /// Takes the most recently used connection, if it may carry the request. `repeatable` says
    /// whether the request may run twice.
    pub fn take(&mut self, now: Time, repeatable: bool) -> Option<C> {
        let max_idle = if repeatable { MAX_IDLE } else { MAX_IDLE_UNREPEATABLE };
        let kept = self.connections.pop()?;
        // If this one is too old, so are the others, which have been idle for longer.
        (now.since(kept.idle_since) <= max_idle).then_some(kept.connection)
    }

    /// Returns a connection after use. Closes it if it is of an older generation.
    pub fn put(&mut self, now: Time, connection: C, generation: Generation) {
        if generation == self.generation() {
            self.connections.push(Kept { connection, idle_since: now });
        }
    }

    /// Closes the idle connections and begins a new generation, because one connection broke or
    /// timed out: the others that were open at that time are not used again.
    pub fn invalidate(&mut self) {
        self.generation += 1;
        self.connections.clear();
    }

    /// Closes connections that have been idle for longer than [`MAX_IDLE`], and the oldest beyond
    /// `limit`.
    pub fn sweep(&mut self, now: Time, limit: usize) {
        self.connections.retain(|kept| now.since(kept.idle_since) <= MAX_IDLE);
        let excess = self.connections.len().saturating_sub(limit);
        self.connections.drain(..excess);
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
