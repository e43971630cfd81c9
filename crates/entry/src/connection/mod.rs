//! Open connections to one upstream, and which of them may be trusted with a request.
//!
//! docs/design/connections.md says why.

use std::time::Duration;

use fleet::time::Time;

/// Idle connections older than this are closed.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// A request that must not run twice gets a connection that was in use at most this long ago, or a
/// fresh one: whatever lies between may have lost track of an older one.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_secs(1);

/// Open connections to one upstream that nobody uses at present.
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

/// Tells connections opened before something went wrong from later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation(u64);

impl<C> Default for Idle<C> {
    fn default() -> Self {
        Self { connections: Vec::new(), generation: 0 }
    }
}

impl<C> Idle<C> {
    /// The generation that a connection opened now belongs to.
    pub fn generation(&self) -> Generation {
        Generation(self.generation)
    }

    /// Takes the connection that was used last, if it may carry the request.
    pub fn take(&mut self, now: Time, repeatable: bool) -> Option<C> {
        let trusted = if repeatable { MAX_IDLE } else { MAX_IDLE_UNREPEATABLE };
        let kept = self.connections.pop()?;
        // The others have been idle for longer.
        (now.since(kept.idle_since) <= trusted).then_some(kept.connection)
    }

    /// Gives a connection back. One from before the last [`Idle::invalidate`] is closed.
    pub fn put(&mut self, now: Time, connection: C, generation: Generation) {
        if generation == self.generation() {
            self.connections.push(Kept { connection, idle_since: now });
        }
    }

    /// A connection has gone silent or broken: the others that were open then are not used again.
    pub fn invalidate(&mut self) {
        self.generation += 1;
        self.connections.clear();
    }

    /// Closes those that have been idle for long, and those beyond `most`, oldest first.
    pub fn sweep(&mut self, now: Time, most: usize) {
        self.connections.retain(|kept| now.since(kept.idle_since) <= MAX_IDLE);
        let excess = self.connections.len().saturating_sub(most);
        self.connections.drain(..excess);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
