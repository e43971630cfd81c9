//! Claims keys and records what became of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use fleet::error::Kind;
use futures_lite::FutureExt;
use http::Response;
use platform::table::Operation;
use platform::table::Row;
use platform::table::Table;
use platform::table::Version;

use super::expiry;
use super::row;
use super::row::Fingerprint;
use super::row::Resolution;
use super::row::State;
use super::row::Value;
use super::writer::Purpose;
use super::writer::Writer;
use super::writer::Written;
use crate::clock;
use crate::clock::Clock;
use crate::core::Spawner;

/// A request that wants its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// The key's row; see [`row::row_key`].
    pub row: String,
    /// The request's id.
    pub request: String,
    /// What tells it from other requests.
    pub fingerprint: Fingerprint,
    /// How long it may run.
    pub timeout: Duration,
}

/// What came of asking for a key.
#[derive(Debug)]
pub enum Claimed {
    /// The request may be sent, once.
    Granted(Claim),
    /// It ran before, and this was the answer.
    Answered(Response),
    /// It may not be sent.
    Refused(Kind),
}

/// The right to send a key's request, once.
///
/// Dropping it says that the request did not run, or, after [`Claim::sent`], that nobody knows.
#[derive(Debug)]
pub struct Claim {
    held: Option<Held>,
    sent: bool,
    ended: Sender<(Held, State)>,
}

/// A claim in the table.
#[derive(Clone, Debug)]
struct Held {
    claimant: Claimant,
    at_ms: u64,
    version: Version,
}

impl Claim {
    /// The request is about to be sent: from here on it may have run.
    pub fn sent(&mut self) {
        self.sent = true;
    }

    /// The request did not run after all, for certain.
    pub fn not_run(&mut self) {
        self.sent = false;
    }

    /// The request ran, and this is the answer.
    pub fn answered(mut self, response: &Response) {
        self.end(State::answered(response));
    }

    fn end(&mut self, state: State) {
        if let Some(held) = self.held.take() {
            let _ = self.ended.try_send((held, state));
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let state = if self.sent { State::Unknown } else { State::NotRun };
        self.end(state);
    }
}

impl Held {
    fn value(&self, state: State) -> Value {
        Value {
            at_ms: self.at_ms,
            request: self.claimant.request.clone(),
            fingerprint: self.claimant.fingerprint.clone(),
            state,
        }
    }
}

/// A key that this process is busy with.
#[derive(Clone, Debug)]
struct Active {
    fingerprint: Fingerprint,
    answer: Option<Value>,
}

/// Claims keys and records what became of them. Clones share the state.
#[derive(Debug)]
pub struct Claims<T>(Rc<Shared<T>>);

impl<T> Clone for Claims<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

#[derive(Debug)]
struct Shared<T> {
    spawner: Spawner,
    writer: Rc<Writer<T>>,
    active: RefCell<BTreeMap<String, Active>>,
    ended: Sender<(Held, State)>,
}

impl<T: Table> Claims<T> {
    /// Starts claiming keys in `table`; `name` must differ from one process to the next.
    pub fn spawn(
        spawner: &Spawner,
        table: T,
        clock: Clock,
        name: String,
        retention: Duration,
    ) -> Self {
        let writer = Rc::new(Writer::new(table, clock, name));
        let (ended, receiver) = async_channel::unbounded();
        let shared = Shared {
            spawner: spawner.clone(),
            writer: Rc::clone(&writer),
            active: RefCell::default(),
            ended,
        };
        let this = Self(Rc::new(shared));
        spawner.spawn(Rc::clone(&writer).run());
        spawner.spawn(this.clone().record_all(receiver));
        spawner.spawn(expiry::run(writer, retention));
        this
    }

    /// Asks for a key, for at most `patience`.
    pub async fn claim(&self, ask: Claimant, patience: Duration) -> Claimed {
        if let Some(busy) = self.0.active.borrow().get(&ask.row) {
            return busy.resolve(&ask);
        }
        if self.0.writer.is_down() {
            return Claimed::Refused(Kind::ClaimUnavailable);
        }
        let busy = Active { fingerprint: ask.fingerprint.clone(), answer: None };
        self.0.active.borrow_mut().insert(ask.row.clone(), busy);
        let (reply, claimed) = async_channel::bounded(1);
        // It goes on to its end even if nobody waits for it any more: an unused claim is released.
        self.0.spawner.spawn(self.clone().run_claim(ask, reply));
        let settled = async { claimed.recv().await.ok() };
        let late = async {
            Timer::after(patience).await;
            None
        };
        settled.or(late).await.unwrap_or(Claimed::Refused(Kind::ClaimUnavailable))
    }

    async fn run_claim(self, ask: Claimant, reply: Sender<Claimed>) {
        let row = ask.row.clone();
        let mut version = Version::ABSENT;
        loop {
            let at_ms = clock::wall().as_millis() as u64;
            let held = Held { claimant: ask.clone(), at_ms, version };
            let until_ms = at_ms + ask.timeout.as_millis() as u64;
            let value = held.value(State::Claimed { until_ms }).to_text();
            let written = self.0.writer.settle(&row, version, Some(value), Purpose::Claim).await;
            match written {
                Written::Done(version) => {
                    let held = Some(Held { version, ..held });
                    let claim = Claim { held, sent: false, ended: self.0.ended.clone() };
                    let _ = reply.try_send(Claimed::Granted(claim));
                    return;
                }
                Written::Conflict(found) => {
                    match row::resolve(&found, &ask.fingerprint, clock::wall()) {
                        Resolution::Reclaim(newer) if newer > version => version = newer,
                        verdict => {
                            self.remove_active(&row);
                            let _ = reply.try_send(verdict.into());
                            return;
                        }
                    }
                }
                Written::Missing => version = Version::ABSENT,
                Written::Unavailable => {
                    self.remove_active(&row);
                    let _ = reply.try_send(Claimed::Refused(Kind::ClaimUnavailable));
                    return;
                }
                Written::Unconfirmed(operation) => {
                    let _ = reply.try_send(Claimed::Refused(Kind::ClaimUnavailable));
                    self.release_unconfirmed(held, operation).await;
                    self.remove_active(&row);
                    return;
                }
            }
        }
    }

    /// Makes sure that a claim which may still arrive does not block the key: it was not used.
    async fn release_unconfirmed(&self, mut held: Held, operation: Operation) {
        let value = held.value(State::NotRun).to_text();
        loop {
            let text = Some(value.clone());
            let row = &held.claimant.row;
            match self.0.writer.settle(row, held.version, text, Purpose::Record).await {
                // The claim had arrived: take it back.
                Written::Conflict(row) if row.operation == operation => held.version = row.version,
                _ => return,
            }
        }
    }

    async fn record_all(self, ended: Receiver<(Held, State)>) {
        while let Ok((held, state)) = ended.recv().await {
            let value = held.value(state);
            if let Some(busy) = self.0.active.borrow_mut().get_mut(&held.claimant.row) {
                busy.answer = Some(value.clone());
            }
            self.0.spawner.spawn(self.clone().record(held, value));
        }
    }

    async fn record(self, held: Held, value: Value) {
        let text = value.to_text();
        let row = &held.claimant.row;
        let written =
            self.0.writer.settle(row, held.version, Some(text.clone()), Purpose::Record).await;
        match written {
            Written::Conflict(found) if found.value != text => {
                tracing::error!(event = "claim-lost", row, operation = %found.operation);
            }
            Written::Missing => tracing::error!(event = "claim-lost", row),
            _ => {}
        }
        self.remove_active(row);
    }

    fn remove_active(&self, row: &str) {
        self.0.active.borrow_mut().remove(row);
    }
}

impl Active {
    /// What a key that this process is busy with means for another request.
    fn resolve(&self, ask: &Claimant) -> Claimed {
        if self.fingerprint != ask.fingerprint {
            return Claimed::Refused(Kind::KeyMismatch);
        }
        let Some(value) = &self.answer else { return Claimed::Refused(Kind::KeyRunning) };
        if value.state == State::NotRun {
            // Its release is under way.
            return Claimed::Refused(Kind::KeyRunning);
        }
        let row = Row {
            key: ask.row.clone(),
            version: Version::ABSENT,
            operation: Operation::default(),
            value: value.to_text(),
        };
        row::resolve(&row, &ask.fingerprint, clock::wall()).into()
    }
}

impl From<Resolution> for Claimed {
    fn from(verdict: Resolution) -> Self {
        match verdict {
            Resolution::Answered(response) => Self::Answered(response),
            Resolution::Refused(kind) => Self::Refused(kind),
            Resolution::Reclaim(_) => Self::Refused(Kind::KeyRunning),
        }
    }
}
