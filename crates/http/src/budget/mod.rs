//! One budget of memory and connections for all that clients make a process hold.

mod accounts;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

pub use accounts::Accounts;
pub use accounts::Capacity;
pub use accounts::Key;
pub use accounts::Phase;
pub use accounts::Verdict;

use crate::Error;
use crate::clock;

/// What one connection makes the process hold.
pub trait Account {
    /// Ready while more may be read, and with [`Error::Overloaded`] once the connection has to give
    /// way.
    fn poll_room(&self, context: &mut Context<'_>) -> Poll<Result<(), Error>>;

    /// Ready once the connection has to give way.
    fn poll_leave(&self, context: &mut Context<'_>) -> Poll<()>;

    /// Sets how many bytes are held.
    ///
    /// # Errors
    ///
    /// [`Error::Overloaded`]: the connection has to give way.
    fn hold(&mut self, bytes: usize) -> Result<(), Error>;

    /// Sets what the connection is doing.
    fn enter(&self, phase: Phase);
}

/// No budget.
impl Account for () {
    fn poll_room(&self, _: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Poll::Ready(Ok(()))
    }

    fn poll_leave(&self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }

    fn hold(&mut self, _: usize) -> Result<(), Error> {
        Ok(())
    }

    fn enter(&self, _: Phase) {}
}

#[derive(Debug)]
struct Shared {
    accounts: Accounts,
    /// Wakers of connections, by key.
    wakers: Vec<Option<Waker>>,
    /// Connections that wait for room, in the order in which they go on.
    waiting: VecDeque<Key>,
    /// Waits for a connection to be closed.
    vacancy: Option<Waker>,
    /// Connections that were told to give way so far.
    evicted: u64,
}

impl Shared {
    fn register(&mut self, key: Key, context: &Context<'_>) {
        let index = key.index();
        if self.wakers.len() <= index {
            self.wakers.resize(index + 1, None);
        }
        match &mut self.wakers[index] {
            Some(waker) => waker.clone_from(context.waker()),
            waker => *waker = Some(context.waker().clone()),
        }
    }

    fn wake(&mut self, key: Key) {
        if let Some(waker) = self.wakers.get_mut(key.index()).and_then(Option::take) {
            waker.wake();
        }
    }

    fn evict(&mut self, key: Key) {
        self.evicted += 1;
        self.wake(key);
    }

    /// Lets one connection that waits for room look again; it wakes the next one if there is more.
    fn wake_next(&mut self) {
        if let Some(key) = self.waiting.pop_front() {
            self.wake(key);
        }
    }

    fn make_room(&mut self, key: Key) -> Verdict {
        let mut told = Vec::new();
        let verdict = self.accounts.make_room(key, |key| told.push(key));
        told.into_iter().for_each(|key| self.evict(key));
        verdict
    }
}

/// A budget that connections share.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<Shared>>);

impl Budget {
    /// An unused budget.
    pub fn open(capacity: Capacity) -> Self {
        let shared = Shared {
            accounts: Accounts::new(capacity),
            wakers: Vec::new(),
            waiting: VecDeque::new(),
            vacancy: None,
            evicted: 0,
        };
        Self(Rc::new(RefCell::new(shared)))
    }

    /// Waits until one more connection may be opened. Tells one to give way if there are too many.
    pub async fn vacancy(&self) {
        poll_fn(|context| {
            let mut shared = self.0.borrow_mut();
            if shared.accounts.has_vacancy() {
                return Poll::Ready(());
            }
            if let Some(key) = shared.accounts.vacate() {
                shared.evict(key);
            }
            shared.vacancy = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Adds a connection; it is removed when the result is dropped.
    pub fn join(&self) -> Member {
        let key = self.0.borrow_mut().accounts.open(clock::now());
        Member { budget: self.clone(), key, held: 0 }
    }

    /// Changes what all connections may hold; those beyond it give way as others hold more.
    pub fn resize(&self, capacity: Capacity) {
        self.0.borrow_mut().accounts.resize(capacity);
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.0.borrow().accounts.len()
    }

    /// What all connections hold, bytes.
    pub fn held(&self) -> usize {
        self.0.borrow().accounts.held()
    }

    /// Number of connections that were told to give way so far.
    pub fn evicted(&self) -> u64 {
        self.0.borrow().evicted
    }
}

/// A connection's part of a [`Budget`].
#[derive(Debug)]
pub struct Member {
    budget: Budget,
    key: Key,
    held: usize,
}

impl Member {
    /// Ready once the connection has to give way.
    pub async fn leave(&self) {
        poll_fn(|context| self.poll_leave(context)).await;
    }
}

impl Account for Member {
    fn poll_room(&self, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        let mut shared = self.budget.0.borrow_mut();
        if shared.accounts.is_leaving(self.key) {
            return Poll::Ready(Err(Error::Overloaded));
        }
        shared.register(self.key, context);
        // The first bytes of a message are always read: what they belong to decides who gives way.
        if self.held == 0 || shared.accounts.has_room(self.key) {
            shared.wake_next();
            return Poll::Ready(Ok(()));
        }
        match shared.make_room(self.key) {
            Verdict::Fits => Poll::Ready(Ok(())),
            Verdict::GivesWay => Poll::Ready(Err(Error::Overloaded)),
            Verdict::Later => {
                if !shared.waiting.contains(&self.key) {
                    shared.waiting.push_back(self.key);
                }
                Poll::Pending
            }
        }
    }

    fn poll_leave(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut shared = self.budget.0.borrow_mut();
        if shared.accounts.is_leaving(self.key) {
            return Poll::Ready(());
        }
        shared.register(self.key, context);
        Poll::Pending
    }

    fn hold(&mut self, bytes: usize) -> Result<(), Error> {
        if bytes == self.held {
            return Ok(());
        }
        let mut shared = self.budget.0.borrow_mut();
        let less = bytes < self.held;
        self.held = bytes;
        shared.accounts.hold(self.key, bytes, clock::now());
        if less {
            shared.wake_next();
            return Ok(());
        }
        match shared.make_room(self.key) {
            Verdict::Fits | Verdict::Later => Ok(()),
            Verdict::GivesWay => Err(Error::Overloaded),
        }
    }

    fn enter(&self, phase: Phase) {
        let mut shared = self.budget.0.borrow_mut();
        shared.accounts.enter(self.key, phase, clock::now());
        if phase != Phase::Handling
            && let Some(waker) = shared.vacancy.take()
        {
            waker.wake();
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let mut shared = self.budget.0.borrow_mut();
        shared.accounts.close(self.key);
        shared.waiting.retain(|key| *key != self.key);
        if let Some(waker) = shared.wakers.get_mut(self.key.index()) {
            *waker = None;
        }
        shared.wake_next();
        if let Some(waker) = shared.vacancy.take() {
            waker.wake();
        }
    }
}
