//! What a caller asks for in its request's headers, checked.

use std::time::Duration;

use fleet::config::Priority;
use fleet::config::Repeat;
use fleet::config::Service;
use fleet::error::Kind;
use fleet::view::Route;
use http::Headers;

/// Names the request in answers, logs and upstreams' ledgers.
pub const REQUEST_ID: &str = "knapweedsail-request-id";
/// Names the caller's team.
pub const TEAM: &str = "knapweedsail-team";
/// `urgent`, `normal` or `batch`.
pub const PRIORITY: &str = "knapweedsail-priority";
/// How long the caller waits for an answer, milliseconds.
pub const DEADLINE: &str = "knapweedsail-deadline-ms";
/// Makes a request safe to repeat on [`Repeat::Keyed`] routes.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest request id, characters.
const MAX_ID: usize = 64;
/// Longest team name, characters.
const MAX_TEAM: usize = 64;
/// Longest idempotency key, characters.
const MAX_KEY: usize = 128;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Its team, or nothing for none.
    pub team: String,
    /// How urgent the request is.
    pub priority: Priority,
    /// How long it may take in all.
    pub timeout: Duration,
    /// Its idempotency key, where the route needs one.
    pub key: Option<String>,
}

impl Options {
    /// Reads the headers of a request to `service`.
    pub fn parse(headers: &Headers, service: &Service) -> Result<Self, Kind> {
        Ok(Self {
            team: team(headers)?,
            priority: priority(headers)?,
            timeout: timeout(headers, service)?,
            key: key(headers, service)?,
        })
    }
}

/// The caller's request id, where it gave a usable one.
pub fn request_id(headers: &Headers) -> Option<&str> {
    headers.get(REQUEST_ID).filter(|id| is_name(id, MAX_ID))
}

/// The route of a target: the first two segments of its path.
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

/// A deadline beyond the service's own is cut to it; nought or no number is refused.
fn timeout(headers: &Headers, service: &Service) -> Result<Duration, Kind> {
    let own = Duration::from_millis(service.timeout_ms.into());
    let Some(text) = headers.get(DEADLINE) else { return Ok(own) };
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Kind::BadRequest);
    }
    // Digits that overflow are a deadline further away than any service's.
    match text.parse().unwrap_or(u64::MAX) {
        0 => Err(Kind::BadRequest),
        millis => Ok(own.min(Duration::from_millis(millis))),
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

/// Whether `text` can stand in a row's key, a log line and a header as it is.
fn is_name(text: &str, longest: usize) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._~:+=@-".contains(&byte);
    !text.is_empty() && text.len() <= longest && text.bytes().all(plain)
}
