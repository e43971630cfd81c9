//! Requests of the contract, and the responses that instances send.

use derive_more::From;
use http::Request;
use http::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Drain;
use crate::MAX_BODY_BYTES;
use crate::NOT_RUN;
use crate::OUTCOME_HEADER;
use crate::PREFIX;
use crate::Reason;
use crate::Refusal;
use crate::Renew;
use crate::Start;
use crate::Target;
use crate::Throttle;

/// A request of the contract.
#[derive(Clone, Debug, PartialEq, Eq, From)]
pub enum Call {
    /// `GET health`.
    #[from(ignore)]
    Health,
    /// `GET report`.
    #[from(ignore)]
    Report,
    /// `POST drain`.
    Drain(Drain),
    /// `POST lease`.
    Renew(Renew),
    /// `POST attempts/start`.
    Start(Start),
    /// `POST attempts/throttle`.
    Throttle(Throttle),
    /// `POST attempts/checkpoint`.
    #[from(ignore)]
    Checkpoint(Target),
    /// `POST attempts/stop`.
    #[from(ignore)]
    Stop(Target),
    /// `POST attempts/forget`: the attempt's end is recorded, so its report may be dropped.
    #[from(ignore)]
    Forget(Target),
}

impl Call {
    /// Parses a request. Returns `None` if it is for the instance's service, not for the contract.
    pub fn read(request: &Request) -> Option<Result<Self, Refusal>> {
        let path = request.target.strip_prefix(PREFIX)?;
        Some(Self::parse(&request.method, path, &request.body))
    }

    /// The HTTP method, and the path without [`PREFIX`].
    pub const fn path(&self) -> (&'static str, &'static str) {
        match self {
            Self::Health => ("GET", "health"),
            Self::Report => ("GET", "report"),
            Self::Drain(_) => ("POST", "drain"),
            Self::Renew(_) => ("POST", "lease"),
            Self::Start(_) => ("POST", "attempts/start"),
            Self::Throttle(_) => ("POST", "attempts/throttle"),
            Self::Checkpoint(_) => ("POST", "attempts/checkpoint"),
            Self::Stop(_) => ("POST", "attempts/stop"),
            Self::Forget(_) => ("POST", "attempts/forget"),
        }
    }

    /// Creates the HTTP request for the call.
    pub fn to_request(&self) -> Request {
        let (method, path) = self.path();
        let request = Request::new(method, format!("{PREFIX}{path}"));
        match self.body() {
            Some(body) => request.with_header("content-type", "application/json").with_body(body),
            None => request,
        }
    }

    fn parse(method: &str, path: &str, body: &[u8]) -> Result<Self, Refusal> {
        if body.len() > MAX_BODY_BYTES {
            return Err(malformed("the body is too long"));
        }
        match (method, path) {
            ("GET", "health") => Ok(Self::Health),
            ("GET", "report") => Ok(Self::Report),
            ("POST", "drain") => from_json(body).map(Self::Drain),
            ("POST", "lease") => from_json(body).map(Self::Renew),
            ("POST", "attempts/start") => from_json(body).map(Self::Start),
            ("POST", "attempts/throttle") => from_json(body).map(Self::Throttle),
            ("POST", "attempts/checkpoint") => from_json(body).map(Self::Checkpoint),
            ("POST", "attempts/stop") => from_json(body).map(Self::Stop),
            ("POST", "attempts/forget") => from_json(body).map(Self::Forget),
            _ => Err(Refusal::new(Reason::NoSuchPath, 0, format!("no {method} {path}"))),
        }
    }

    fn body(&self) -> Option<Vec<u8>> {
        match self {
            Self::Health | Self::Report => None,
            Self::Drain(body) => Some(to_json(body)),
            Self::Renew(body) => Some(to_json(body)),
            Self::Start(body) => Some(to_json(body)),
            Self::Throttle(body) => Some(to_json(body)),
            Self::Checkpoint(body) | Self::Stop(body) | Self::Forget(body) => Some(to_json(body)),
        }
    }
}

/// Creates the HTTP response for the result of a call.
///
/// A refusal gets the status of its reason and the header [`OUTCOME_HEADER`].
pub fn answer<T: Serialize>(result: Result<T, Refusal>) -> Response {
    match result {
        Ok(body) => json_response(200, &body),
        Err(refusal) => {
            json_response(refusal.refused.status(), &refusal).with_header(OUTCOME_HEADER, NOT_RUN)
        }
    }
}

fn json_response<T: Serialize>(status: u16, body: &T) -> Response {
    Response::new(status).with_header("content-type", "application/json").with_body(to_json(body))
}

fn to_json<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("messages of numbers, strings and lists serialize")
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(malformed)
}

fn malformed(error: impl std::fmt::Display) -> Refusal {
    Refusal::new(Reason::Malformed, 0, error.to_string())
}
