//! HTTP client for the contract.

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

/// Sends calls to one instance, each over a new connection.
///
/// A connection that has stopped responding therefore never delays the next call.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client for the instance at `address`. Each call ends within `timeout`.
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Requests the instance's health.
    pub async fn health(&self) -> Outcome<Health> {
        self.call(&Call::Health).await
    }

    /// Requests the instance's attempts and their resource usage.
    pub async fn report(&self) -> Outcome<Report> {
        self.call(&Call::Report).await
    }

    /// Starts or ends draining. Idempotent.
    pub async fn drain(&self, drain: Drain) -> Outcome<Health> {
        self.call(&Call::Drain(drain)).await
    }

    /// Renews the lease under which the instance runs its attempts.
    pub async fn renew(&self, renew: Renew) -> Outcome<Health> {
        self.call(&Call::Renew(renew)).await
    }

    /// Starts an attempt. Idempotent for the same job and attempt number.
    pub async fn start(&self, start: Start) -> Outcome<Attempt> {
        let requested = (start.job.clone(), start.number);
        check_attempt(self.call(&Call::Start(start)).await, &requested)
    }

    /// Limits the resources that an attempt may use.
    pub async fn throttle(&self, throttle: Throttle) -> Outcome<Attempt> {
        let requested = (throttle.target.job.clone(), throttle.target.number);
        check_attempt(self.call(&Call::Throttle(throttle)).await, &requested)
    }

    /// Has an attempt write a checkpoint and end.
    pub async fn checkpoint(&self, target: Target) -> Outcome<Attempt> {
        let requested = (target.job.clone(), target.number);
        check_attempt(self.call(&Call::Checkpoint(target)).await, &requested)
    }

    /// Ends an attempt.
    pub async fn stop(&self, target: Target) -> Outcome<Attempt> {
        let requested = (target.job.clone(), target.number);
        check_attempt(self.call(&Call::Stop(target)).await, &requested)
    }

    /// Lets the instance drop an attempt from its reports. Call it only once the attempt's end is
    /// recorded.
    pub async fn forget(&self, target: Target) -> Outcome<Attempt> {
        let requested = (target.job.clone(), target.number);
        check_attempt(self.call(&Call::Forget(target)).await, &requested)
    }

    /// Sends a command about an attempt, as created by [`Call::from_command`].
    ///
    /// Calls about the instance itself are refused without being sent.
    pub async fn command(&self, call: Call) -> Outcome<Attempt> {
        match call {
            Call::Start(start) => self.start(start).await,
            Call::Throttle(throttle) => self.throttle(throttle).await,
            Call::Checkpoint(target) => self.checkpoint(target).await,
            Call::Stop(target) => self.stop(target).await,
            Call::Forget(target) => self.forget(target).await,
            Call::Health | Call::Report | Call::Drain(_) | Call::Renew(_) => {
                let (_, path) = call.path();
                Outcome::Refused(Refusal::new(
                    Reason::NotPossible,
                    0,
                    format!("{path} is not a command for an attempt"),
                ))
            }
        }
    }

    async fn call<T: DeserializeOwned>(&self, call: &Call) -> Outcome<T> {
        let limits = Limits { body: MAX_BODY_BYTES, ..Limits::default() };
        match http::call(self.address, &call.to_request(), limits, self.timeout).await {
            Ok(response) => parse_response(&response),
            Err(Error::NotSent(reason)) => {
                Outcome::Refused(Refusal::new(Reason::NotSent, 0, reason))
            }
            Err(error) => Outcome::Unknown(error.to_string()),
        }
    }
}

/// Parses a response. Anything but a complete, well-formed body gives [`Outcome::Unknown`].
fn parse_response<T: DeserializeOwned>(response: &Response) -> Outcome<T> {
    if response.status == 200 {
        return match serde_json::from_slice(&response.body) {
            Ok(body) => Outcome::Done(body),
            Err(error) => Outcome::Unknown(format!("response body cannot be parsed: {error}")),
        };
    }
    match serde_json::from_slice(&response.body) {
        Ok(refusal) => Outcome::Refused(refusal),
        Err(_) => {
            Outcome::Unknown(format!("status {} without a refusal in the body", response.status))
        }
    }
}

/// Turns a response about another attempt than the requested one into [`Outcome::Unknown`].
fn check_attempt(outcome: Outcome<Attempt>, requested: &(String, u32)) -> Outcome<Attempt> {
    match outcome {
        Outcome::Done(attempt) if (&attempt.job, attempt.number) != (&requested.0, requested.1) => {
            let Attempt { job, number, .. } = attempt;
            Outcome::Unknown(format!("the response is about attempt {number} of job {job}"))
        }
        other => other,
    }
}
