//! Tells an instance what to do.

use std::net::SocketAddr;
use std::time::Duration;

use http::Error;
use http::Limits;
use http::Response;
use serde::de::DeserializeOwned;

use crate::Attempt;
use crate::Call;
use crate::Drain;
use crate::Health;
use crate::MAX_BODY_BYTES;
use crate::Outcome;
use crate::Reason;
use crate::Refusal;
use crate::Renew;
use crate::Report;
use crate::Start;
use crate::Target;
use crate::Throttle;

/// Speaks to one instance, each call over a connection of its own.
///
/// A connection that went silent therefore never holds up the next call.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// A client of the instance at `address`; each call ends within `timeout`.
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Asks whether the instance is well.
    pub async fn health(&self) -> Outcome<Health> {
        self.call(&Call::Health).await
    }

    /// Asks for the instance's attempts and their usage.
    pub async fn report(&self) -> Outcome<Report> {
        self.call(&Call::Report).await
    }

    /// Starts or ends draining. The same again changes nothing.
    pub async fn drain(&self, drain: Drain) -> Outcome<Health> {
        self.call(&Call::Drain(drain)).await
    }

    /// Lets the instance's attempts go on.
    pub async fn renew(&self, renew: Renew) -> Outcome<Health> {
        self.call(&Call::Renew(renew)).await
    }

    /// Starts an attempt. The same again changes nothing.
    pub async fn start(&self, start: Start) -> Outcome<Attempt> {
        let target = (start.job.clone(), start.number);
        same(self.call(&Call::Start(start)).await, &target)
    }

    /// Lets an attempt use less.
    pub async fn throttle(&self, throttle: Throttle) -> Outcome<Attempt> {
        let target = (throttle.target.job.clone(), throttle.target.number);
        same(self.call(&Call::Throttle(throttle)).await, &target)
    }

    /// Has an attempt write a checkpoint and end.
    pub async fn checkpoint(&self, target: Target) -> Outcome<Attempt> {
        let named = (target.job.clone(), target.number);
        same(self.call(&Call::Checkpoint(target)).await, &named)
    }

    /// Ends an attempt.
    pub async fn stop(&self, target: Target) -> Outcome<Attempt> {
        let named = (target.job.clone(), target.number);
        same(self.call(&Call::Stop(target)).await, &named)
    }

    /// Lets the instance drop an attempt from its reports, once its end is recorded.
    pub async fn forget(&self, target: Target) -> Outcome<Attempt> {
        let named = (target.job.clone(), target.number);
        same(self.call(&Call::Forget(target)).await, &named)
    }

    /// Gives a worker an order; see [`Call::from_command`].
    pub async fn command(&self, call: Call) -> Outcome<Attempt> {
        match call {
            Call::Start(start) => self.start(start).await,
            Call::Throttle(throttle) => self.throttle(throttle).await,
            Call::Checkpoint(target) => self.checkpoint(target).await,
            Call::Stop(target) => self.stop(target).await,
            Call::Forget(target) => self.forget(target).await,
            Call::Health | Call::Report | Call::Drain(_) | Call::Renew(_) => {
                let (_, path) = call.path();
                Outcome::Refused(Refusal::new(Reason::NotPossible, 0, format!("{path}: no order")))
            }
        }
    }

    async fn call<T: DeserializeOwned>(&self, call: &Call) -> Outcome<T> {
        let limits = Limits { body: MAX_BODY_BYTES, ..Limits::default() };
        match http::call(self.address, &call.to_request(), limits, self.timeout).await {
            Ok(response) => read(&response),
            Err(Error::NotSent(reason)) => {
                Outcome::Refused(Refusal::new(Reason::NotSent, 0, reason))
            }
            Err(error) => Outcome::Unknown(error.to_string()),
        }
    }
}

/// Reads an answer. Only a whole, well-formed one counts; all else is unknown.
fn read<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    if response.status == 200 {
        return match serde_json::from_slice(&response.body) {
            Ok(answer) => Outcome::Done(answer),
            Err(error) => Outcome::Unknown(format!("unreadable answer: {error}")),
        };
    }
    match serde_json::from_slice(&response.body) {
        Ok(refusal) => Outcome::Refused(refusal),
        Err(_) => Outcome::Unknown(format!("status {} with no refusal", response.status)),
    }
}

/// An answer about another attempt than the one asked for is no answer.
fn same(outcome: Outcome<Attempt>, named: &(String, u32)) -> Outcome<Attempt> {
    match outcome {
        Outcome::Done(attempt) if (&attempt.job, attempt.number) != (&named.0, named.1) => {
            let Attempt { job, number, .. } = attempt;
            Outcome::Unknown(format!("the answer is about attempt {number} of {job}"))
        }
        other => other,
    }
}
