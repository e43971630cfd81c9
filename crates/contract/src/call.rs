//! A request as an instance reads it, and the answer it gives.

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

/// A request of the contract, read.
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
    /// `POST attempts/forget`: the end of the attempt is recorded.
    #[from(ignore)]
    Forget(Target),
}

impl Call {
    /// Reads a request; `None` where it is not of the contract but of the instance's service.
    pub fn read(request: &Request) -> Option<Result<Self, Refusal>> {
        let path = request.target.strip_prefix(PREFIX)?;
        Some(Self::read_path(&request.method, path, &request.body))
    }

    /// The method and path of the call.
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

    /// The request that carries the call.
    pub fn to_request(&self) -> Request {
        let (method, path) = self.path();
        let request = Request::new(method, format!("{PREFIX}{path}"));
        match self.body() {
            Some(body) => request.with_header("content-type", "application/json").with_body(body),
            None => request,
        }
    }

    fn read_path(method: &str, path: &str, body: &[u8]) -> Result<Self, Refusal> {
        if body.len() > MAX_BODY_BYTES {
            return Err(malformed("the body is too long"));
        }
        match (method, path) {
            ("GET", "health") => Ok(Self::Health),
            ("GET", "report") => Ok(Self::Report),
            ("POST", "drain") => parse(body).map(Self::Drain),
            ("POST", "lease") => parse(body).map(Self::Renew),
            ("POST", "attempts/start") => parse(body).map(Self::Start),
            ("POST", "attempts/throttle") => parse(body).map(Self::Throttle),
            ("POST", "attempts/checkpoint") => parse(body).map(Self::Checkpoint),
            ("POST", "attempts/stop") => parse(body).map(Self::Stop),
            ("POST", "attempts/forget") => parse(body).map(Self::Forget),
            _ => Err(Refusal::new(Reason::NoSuchPath, 0, format!("no {method} {path}"))),
        }
    }

    fn body(&self) -> Option<Vec<u8>> {
        match self {
            Self::Health | Self::Report => None,
            Self::Drain(body) => Some(write(body)),
            Self::Renew(body) => Some(write(body)),
            Self::Start(body) => Some(write(body)),
            Self::Throttle(body) => Some(write(body)),
            Self::Checkpoint(body) | Self::Stop(body) | Self::Forget(body) => Some(write(body)),
        }
    }
}

/// The response that carries an instance's answer.
pub fn answer<T: Serialize>(answer: Result<T, Refusal>) -> Response {
    match answer {
        Ok(body) => json(200, &body),
        Err(refusal) => {
            json(refusal.refused.status(), &refusal).with_header(OUTCOME_HEADER, NOT_RUN)
        }
    }
}

fn json<T: Serialize>(status: u16, body: &T) -> Response {
    Response::new(status).with_header("content-type", "application/json").with_body(write(body))
}

fn write<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("plain structs of numbers and strings can be written")
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(malformed)
}

fn malformed(error: impl std::fmt::Display) -> Refusal {
    Refusal::new(Reason::Malformed, 0, error.to_string())
}
