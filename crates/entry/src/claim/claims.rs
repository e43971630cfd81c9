//! Claims idempotency keys and records the outcomes of the requests that claimed them.

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

/// A request that claims its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimant {
    /// Row key; see [`row::row_key`].
    pub row: String,
    /// Request id.
    pub request: String,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time limit of the request.
    pub timeout: Duration,
}

/// Result of claiming a key.
#[derive(Debug)]
pub enum Claimed {
    /// The request may be sent once.
    Granted(Claim),
    /// The request ran before; this is the stored answer.
    Answered(Response),
    /// The request may not be sent.
    Refused(Kind),
}

/// The right to send, once, the request that claimed a key.
///
/// Dropping it records that the request did not run, or, after [`Claim::mark_sent`], that its
/// outcome is unknown.
#[derive(Debug)]
pub struct Claim {
    held: Option<Held>,
    sent: bool,
    outcomes: Sender<(Held, State)>,
}

/// A claim that is stored in the table.
#[derive(Clone, Debug)]
struct Held {
    claimant: Claimant,
    at_ms: u64,
    version: Version,
}

impl Claim {
    /// Marks the request as about to be sent: from now on it may have run.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Marks the request as certainly not run, after [`Claim::mark_sent`].
    pub fn mark_not_run(&mut self) {
        self.sent = false;
    }

    /// Records the response to the request.
    pub fn record_answer(mut self, response: &Response) {
        self.end(State::from_response(response));
    }

    fn end(&mut self, state: State) {
        if let Some(held) = self.held.take() {
            let _ = self.outcomes.try_send((held, state));
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

/// A key whose claim or outcome this process is writing, or whose claimant is being sent.
#[derive(Clone, Debug)]
struct Active {
    fingerprint: Fingerprint,
    /// The outcome, once known.
    outcome: Option<Value>,
}

/// Claims keys and records the outcomes of the requests that claimed them. Clones share the state.
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
    outcomes: Sender<(Held, State)>,
}

impl<T: Table> Claims<T> {
    /// Starts the background tasks. `name` must be unique to this process: it makes the ids of
    /// write operations unique. Rows are deleted after `retention`.
    pub fn spawn(
        spawner: &Spawner,
        table: T,
        clock: Clock,
        name: String,
        retention: Duration,
    ) -> Self {
        let writer = Rc::new(Writer::new(table, clock, name));
        let (outcomes, receiver) = async_channel::unbounded();
        let shared = Shared {
            spawner: spawner.clone(),
            writer: Rc::clone(&writer),
            active: RefCell::default(),
            outcomes,
        };
        let this = Self(Rc::new(shared));
        spawner.spawn(Rc::clone(&writer).run());
        spawner.spawn(this.clone().record_all(receiver));
        spawner.spawn(expiry::run(writer, retention));
        this
    }

    /// Claims a key. Refuses with [`Kind::ClaimUnavailable`] if that takes longer than `timeout`.
    pub async fn claim(&self, claimant: Claimant, timeout: Duration) -> Claimed {
        if let Some(active) = self.0.active.borrow().get(&claimant.row) {
            return active.resolve(&claimant);
        }
        if self.0.writer.is_down() {
            return Claimed::Refused(Kind::ClaimUnavailable);
        }
        let active = Active { fingerprint: claimant.fingerprint.clone(), outcome: None };
        self.0.active.borrow_mut().insert(claimant.row.clone(), active);
        let (reply, claimed) = async_channel::bounded(1);
        // The claim completes even after the timeout: it is then dropped unused, which releases it.
        self.0.spawner.spawn(self.clone().run_claim(claimant, reply));
        let result = async { claimed.recv().await.ok() };
        let late = async {
            Timer::after(timeout).await;
            None
        };
        result.or(late).await.unwrap_or(Claimed::Refused(Kind::ClaimUnavailable))
    }

    /// Tries to write the claim until it is stored or the key turns out to be taken, and replies.
    async fn run_claim(self, claimant: Claimant, reply: Sender<Claimed>) {
        let row = claimant.row.clone();
        let mut version = Version::ABSENT;
        loop {
            let at_ms = clock::wall().as_millis() as u64;
            let held = Held { claimant: claimant.clone(), at_ms, version };
            let until_ms = at_ms + claimant.timeout.as_millis() as u64;
            let value = held.value(State::Claimed { until_ms }).to_text();
            let written = self.0.writer.write_row(&row, version, Some(value), Purpose::Claim).await;
            match written {
                Written::Done(version) => {
                    let held = Some(Held { version, ..held });
                    let claim = Claim { held, sent: false, outcomes: self.0.outcomes.clone() };
                    let _ = reply.try_send(Claimed::Granted(claim));
                    return;
                }
                Written::Conflict(found) => {
                    match row::resolve(&found, &claimant.fingerprint, clock::wall()) {
                        Resolution::Reclaim(newer) if newer > version => version = newer,
                        resolution => {
                            self.remove_active(&row);
                            let _ = reply.try_send(resolution.into());
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

    /// Records that the request did not run, so that a claim whose write may still reach the table
    /// does not block the key. The claim was never used.
    async fn release_unconfirmed(&self, mut held: Held, operation: Operation) {
        let value = held.value(State::NotRun).to_text();
        loop {
            let text = Some(value.clone());
            let row = &held.claimant.row;
            match self.0.writer.write_row(row, held.version, text, Purpose::Record).await {
                // The write of the claim has arrived: replace it.
                Written::Conflict(row) if row.operation == operation => held.version = row.version,
                _ => return,
            }
        }
    }

    /// Records the outcomes of all claims.
    async fn record_all(self, outcomes: Receiver<(Held, State)>) {
        while let Ok((held, state)) = outcomes.recv().await {
            let value = held.value(state);
            if let Some(active) = self.0.active.borrow_mut().get_mut(&held.claimant.row) {
                active.outcome = Some(value.clone());
            }
            self.0.spawner.spawn(self.clone().record(held, value));
        }
    }

    /// Writes the outcome of a request, then allows the key to be claimed again in this process.
    async fn record(self, held: Held, value: Value) {
        let text = value.to_text();
        let row = &held.claimant.row;
        let written =
            self.0.writer.write_row(row, held.version, Some(text.clone()), Purpose::Record).await;
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
    /// Decides about another request with the same key.
    fn resolve(&self, claimant: &Claimant) -> Claimed {
        if self.fingerprint != claimant.fingerprint {
            return Claimed::Refused(Kind::KeyMismatch);
        }
        let Some(value) = &self.outcome else { return Claimed::Refused(Kind::KeyRunning) };
        if value.state == State::NotRun {
            // The release is still being written.
            return Claimed::Refused(Kind::KeyRunning);
        }
        let row = Row {
            key: claimant.row.clone(),
            version: Version::ABSENT,
            operation: Operation::default(),
            value: value.to_text(),
        };
        row::resolve(&row, &claimant.fingerprint, clock::wall()).into()
    }
}

impl From<Resolution> for Claimed {
    fn from(resolution: Resolution) -> Self {
        match resolution {
            Resolution::Answered(response) => Self::Answered(response),
            Resolution::Refused(kind) => Self::Refused(kind),
            Resolution::Reclaim(_) => Self::Refused(Kind::KeyRunning),
        }
    }
}
