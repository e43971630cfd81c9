//! From an HTTP answer to a result or one of the [`Error`] classes.

use http::Response;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::outage::Outcome;
use crate::rest;
use crate::table::Position;

/// Whether a call may have an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    None,
    Write,
}

impl Effect {
    /// The error for a call that was sent and got no answer that says what became of it.
    pub(crate) fn unsettled(self, reason: String) -> Error {
        match self {
            Self::None => Error::Unavailable(reason),
            Self::Write => Error::Unknown(reason),
        }
    }
}

/// The answer's body, or what its status means.
pub(crate) fn check(response: Response, effect: Effect) -> Result<Response, Error> {
    if (200..300).contains(&response.status) {
        return Ok(response);
    }
    let reason = format!("status {}: {}", response.status, text(&response.body));
    let no_effect = response.headers.get(rest::OUTCOME) == Some(rest::NOT_RUN);
    match response.status {
        429 | 500.. if no_effect => Err(Error::Unavailable(reason)),
        400..500 if no_effect => Err(Error::Malformed(reason)),
        _ => Err(effect.unsettled(reason)),
    }
}

/// Whether the service itself says that there is no such object.
pub(crate) fn is_absent(response: &Response) -> bool {
    response.status == 404 && response.headers.get(rest::OUTCOME) == Some(rest::NOT_RUN)
}

/// Parses a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8], effect: Effect) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| match effect {
        Effect::None => Error::Malformed(error.to_string()),
        Effect::Write => Error::Unknown(format!("malformed answer: {error}")),
    })
}

/// What an exchange says about the platform as a whole.
pub(crate) fn outcome(exchange: &Result<Response, http::Error>) -> Outcome {
    match exchange {
        Ok(response) if response.status == 429 => Outcome::Throttled,
        Ok(response) if response.status >= 500 => Outcome::Failed,
        Ok(_) => Outcome::Answered,
        Err(_) => Outcome::Failed,
    }
}

/// The position that the answer reflects, where the service says so.
pub(crate) fn position(response: &Response) -> Option<Position> {
    response.headers.get(rest::POSITION)?.parse().ok().map(Position)
}

fn text(body: &[u8]) -> String {
    const LONGEST: usize = 200;
    String::from_utf8_lossy(&body[..body.len().min(LONGEST)]).into_owned()
}
