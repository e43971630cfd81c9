//! Parses and validates the headers and the target of a caller's request.

use std::time::Duration;

use fleet::config::Priority;
use fleet::config::Repeat;
use fleet::config::Service;
use fleet::error::Kind;
use fleet::view::Route;
use http::Headers;

/// Header with the id of the request, which also appears in responses, logs and upstreams' records.
pub const REQUEST_ID: &str = "knapweedsail-request-id";
/// Header with the name of the caller's team.
pub const TEAM: &str = "knapweedsail-team";
/// Header with the priority: `urgent`, `normal` or `batch`.
pub const PRIORITY: &str = "knapweedsail-priority";
/// Header with the time that the caller waits for a response, in milliseconds.
pub const DEADLINE: &str = "knapweedsail-deadline-ms";
/// Header with the idempotency key, which makes a request safe to repeat on [`Repeat::Keyed`]
/// routes.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of a request id, in bytes.
const MAX_ID: usize = 64;
/// Maximum length of a team name, in bytes.
const MAX_TEAM: usize = 64;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY: usize = 128;

/// Options that a caller sets in its request's headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Name of the caller's team; empty without the header.
    pub team: String,
    /// Priority of the request.
    pub priority: Priority,
    /// Time limit for the whole request, at most the service's own timeout.
    pub timeout: Duration,
    /// Idempotency key, on [`Repeat::Keyed`] routes.
    pub key: Option<String>,
}

impl Options {
    /// Parses the headers of a request to `service`. Fails with [`Kind::BadRequest`] if a header is
    /// malformed or a required key is missing.
    pub fn parse(headers: &Headers, service: &Service) -> Result<Self, Kind> {
        Ok(Self {
            team: team(headers)?,
            priority: priority(headers)?,
            timeout: timeout(headers, service)?,
            key: key(headers, service)?,
        })
    }
}

/// The request id that the caller set, if it is valid.
pub fn request_id(headers: &Headers) -> Option<&str> {
    headers.get(REQUEST_ID).filter(|id| is_name(id, MAX_ID))
}

/// The route of a request target: the first two segments of its path. `None` if one is empty.
pub fn route(target: &str) -> Option<Route> {
    let path = target.split('?').next()?;
    let mut segments = path.split('/').skip(1);
    let organisation = segments.next().filter(|name| !name.is_empty())?.to_owned();
    let service = segments.next().filter(|name| !name.is_empty())?.to_owned();
    Some(Route { organisation, service })
}

fn team(headers: &Headers) -> Result<String, Kind> {
    match headers.get(TEAM) {
        None => Ok(String::new()),
        Some(team) if is_name(team, MAX_TEAM) => Ok(team.to_owned()),
        Some(_) => Err(Kind::BadRequest),
    }
}

fn priority(headers: &Headers) -> Result<Priority, Kind> {
    match headers.get(PRIORITY) {
        None | Some("normal") => Ok(Priority::Normal),
        Some("urgent") => Ok(Priority::Urgent),
        Some("batch") => Ok(Priority::Batch),
        Some(_) => Err(Kind::BadRequest),
    }
}

/// The caller's deadline, at most the service's timeout. Zero and anything but digits are errors.
fn timeout(headers: &Headers, service: &Service) -> Result<Duration, Kind> {
    let max = Duration::from_millis(service.timeout_ms.into());
    let Some(text) = headers.get(DEADLINE) else { return Ok(max) };
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Kind::BadRequest);
    }
    // A number that overflows is longer than any service's timeout.
    match text.parse().unwrap_or(u64::MAX) {
        0 => Err(Kind::BadRequest),
        millis => Ok(max.min(Duration::from_millis(millis))),
    }
}

fn key(headers: &Headers, service: &Service) -> Result<Option<String>, Kind> {
    if service.repeat != Repeat::Keyed {
        return Ok(None);
    }
    match headers.get(IDEMPOTENCY_KEY) {
        Some(key) if is_name(key, MAX_KEY) => Ok(Some(key.to_owned())),
        _ => Err(Kind::BadRequest),
    }
}

/// Whether `text` needs no escaping in row keys, log lines and headers, and is 1 to `max_len`
/// bytes.
fn is_name(text: &str, max_len: usize) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._~:+=@-".contains(&byte);
    !text.is_empty() && text.len() <= max_len && text.bytes().all(plain)
}
