//! Who has to give way where connections make the process hold too much.

use std::time::Instant;

/// What a connection may hold and still count as small: calls with bodies of some kilobytes do.
const SMALL_BYTES: usize = 16 << 10;

/// Bytes of a message that count as progress of its sender.
const PROGRESS_BYTES: usize = 4 << 10;

/// Part of the memory that is kept for small messages, as a divisor.
const SMALL_SHARE: usize = 4;

/// What all connections together may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Bytes of messages.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request, or for the other end to close.
    Idle,
    /// Receives a request.
    Receiving,
    /// Waits for the answer to a whole request; such a connection never gives way.
    Handling,
    /// Sends an answer.
    Sending,
}

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(usize);

impl Key {
    pub(super) const fn index(self) -> usize {
        self.0
    }
}

/// What becomes of a connection that holds more than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is room for it.
    Fits,
    /// There will be, once connections that were told to have given way.
    Later,
    /// It has to give way itself.
    GivesWay,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    phase: Phase,
    /// Bytes.
    held: usize,
    /// What was held when its sender was last seen to make progress, bytes.
    marked: usize,
    /// Time of the last progress, or of the last change of phase.
    since: Instant,
    /// Whether it has been told to give way.
    leaving: bool,
}

impl Account {
    const fn is_large(&self) -> bool {
        self.held > SMALL_BYTES
    }

    const fn can_leave(&self) -> bool {
        !self.leaving && !matches!(self.phase, Phase::Handling)
    }
}

/// All connections of a budget, and what each holds.
///
/// Answers many clients that each stay within the limits of a single message but not together: nearly
/// whole messages that stay unfinished, answers that are not read, and connections without a request.
/// Those that made progress longest ago give way first, large messages before small ones; an ordinary
/// call is small and soon over, and so among the last.
#[derive(Debug)]
pub struct Accounts {
    capacity: Capacity,
    arena: Vec<Option<Account>>,
    free: Vec<Key>,
    held: usize,
    /// What is held by those that were told to give way, bytes.
    leaving: usize,
    /// Number of those.
    leavers: usize,
}

impl Accounts {
    /// No connections yet.
    pub const fn new(capacity: Capacity) -> Self {
        Self { capacity, arena: Vec::new(), free: Vec::new(), held: 0, leaving: 0, leavers: 0 }
    }

    /// Changes what all connections may hold.
    pub const fn resize(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// What all connections hold, bytes.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Number of connections.
    pub const fn len(&self) -> usize {
        self.arena.len() - self.free.len()
    }

    /// Whether there are no connections.
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether one more connection may be opened.
    pub const fn has_vacancy(&self) -> bool {
        self.len() < self.capacity.connections
    }

    /// Adds a connection at `now`.
    pub fn open(&mut self, now: Instant) -> Key {
        let account =
            Account { phase: Phase::Idle, held: 0, marked: 0, since: now, leaving: false };
        if let Some(key) = self.free.pop() {
            self.arena[key.0] = Some(account);
            return key;
        }
        self.arena.push(Some(account));
        Key(self.arena.len() - 1)
    }

    /// Removes a connection, with what it holds.
    pub fn close(&mut self, key: Key) {
        let Some(account) = self.arena[key.0].take() else { return };
        self.held -= account.held;
        if account.leaving {
            self.leaving -= account.held;
            self.leavers -= 1;
        }
        self.free.push(key);
    }

    /// Records that a connection does something else from `now` on. One that has just received a whole
    /// request need not give way any more.
    pub fn enter(&mut self, key: Key, phase: Phase, now: Instant) {
        let Some(account) = &mut self.arena[key.0] else { return };
        (account.phase, account.since, account.marked) = (phase, now, account.held);
        if account.leaving && phase == Phase::Handling {
            account.leaving = false;
            self.leaving -= account.held;
            self.leavers -= 1;
        }
    }

    /// Records what a connection holds at `now`, in bytes. Whether that fits is for
    /// [`Self::make_room`] to say.
    pub fn hold(&mut self, key: Key, bytes: usize, now: Instant) {
        let Some(account) = &mut self.arena[key.0] else { return };
        self.held = self.held - account.held + bytes;
        if account.leaving {
            self.leaving = self.leaving - account.held + bytes;
        }
        account.held = bytes;
        if bytes >= account.marked + PROGRESS_BYTES {
            (account.marked, account.since) = (bytes, now);
        }
    }

    /// Whether a connection has been told to give way.
    pub fn is_leaving(&self, key: Key) -> bool {
        self.arena[key.0].is_some_and(|account| account.leaving)
    }

    /// Whether what all hold leaves room for this connection.
    pub fn has_room(&self, key: Key) -> bool {
        self.held <= self.limit(key)
    }

    /// Bytes that all may hold as far as this connection is concerned: a part is kept for those whose
    /// messages are small.
    fn limit(&self, key: Key) -> usize {
        let bytes = self.capacity.bytes;
        let large = self.arena[key.0].is_some_and(|account| account.is_large());
        if large { bytes - bytes / SMALL_SHARE } else { bytes }
    }

    /// Tells connections to give way until what all hold leaves room for this one; `told` is called
    /// with each. A connection that is alone always fits, so that a single message is never refused.
    pub fn make_room(&mut self, key: Key, mut told: impl FnMut(Key)) -> Verdict {
        if self.has_room(key) {
            return Verdict::Fits;
        }
        let limit = self.limit(key);
        while self.held - self.leaving > limit {
            let own = self.arena[key.0].map_or(0, |account| account.held);
            match self.stalest() {
                Some(other) if other == key && self.held == own => return Verdict::Fits,
                Some(other) => {
                    self.tell(other);
                    told(other);
                    if other == key {
                        return Verdict::GivesWay;
                    }
                }
                None => return Verdict::GivesWay,
            }
        }
        Verdict::Later
    }

    /// Tells a connection to give way to a new one: the one that has been idle, or without progress, for
    /// longest. None if one is about to give way, or all wait for answers.
    pub fn vacate(&mut self) -> Option<Key> {
        if self.leavers > 0 {
            return None;
        }
        let (key, _) = self.candidates().min_by_key(|(key, account)| (account.since, *key))?;
        self.tell(key);
        Some(key)
    }

    fn tell(&mut self, key: Key) {
        let Some(account) = &mut self.arena[key.0] else { return };
        account.leaving = true;
        self.leaving += account.held;
        self.leavers += 1;
    }

    /// Of the connections that hold something, the one that made progress longest ago, among large ones
    /// if there are any.
    fn stalest(&self) -> Option<Key> {
        let holding = self.candidates().filter(|(_, account)| account.held > 0);
        let stalest =
            holding.min_by_key(|(key, account)| (!account.is_large(), account.since, *key));
        stalest.map(|(key, _)| key)
    }

    /// The connections that may be told to give way.
    fn candidates(&self) -> impl Iterator<Item = (Key, &Account)> {
        let accounts = self.arena.iter().enumerate();
        let accounts =
            accounts.filter_map(|(index, account)| Some((Key(index), account.as_ref()?)));
        accounts.filter(|(_, account)| account.can_leave())
    }
}
