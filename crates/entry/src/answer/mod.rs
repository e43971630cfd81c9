//! Builds responses to callers.

use fleet::error::Kind;
use fleet::error::Outcome;
use http::Headers;
use http::Response;

use crate::caller::REQUEST_ID;

/// Header with the outcome of a request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = contract::OUTCOME_HEADER;

/// Header with the error [`Kind`] of a response that an entry made itself.
pub const ERROR: &str = "knapweedsail-error";

/// Header with the seconds after which the caller may try again.
pub const RETRY_AFTER: &str = "retry-after";

/// Header fields that belong to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// The response to a request that ended with `kind`. `retry_after_secs` replaces the default
/// of `kind`.
pub fn refusal(kind: Kind, id: &str, retry_after_secs: Option<u32>) -> Response {
    refusal_with_status(kind, kind.response().status, id, retry_after_secs)
}

/// Like [`refusal`], with a more specific status than the kind's own.
pub fn refusal_with_status(
    kind: Kind,
    status: u16,
    id: &str,
    retry_after_secs: Option<u32>,
) -> Response {
    let defaults = kind.response();
    let mut response = Response::new(status);
    response.headers.push(OUTCOME, defaults.outcome.to_string());
    response.headers.push(ERROR, kind.to_string());
    response.headers.push(REQUEST_ID, id);
    if let Some(secs) = retry_after_secs.or(defaults.retry_after_secs) {
        response.headers.push(RETRY_AFTER, secs.to_string());
    }
    response
}

/// Prepares an upstream's response for the caller: marks it as `ran` and sets the request id.
pub fn from_upstream(mut response: Response, id: &str) -> Response {
    strip_hop_by_hop(&mut response.headers);
    for name in [OUTCOME, ERROR, REQUEST_ID] {
        response.headers.remove(name);
    }
    response.headers.push(OUTCOME, Outcome::Ran.to_string());
    response.headers.push(REQUEST_ID, id);
    response
}

/// Removes the hop-by-hop header fields, including those that the `connection` field names.
pub fn strip_hop_by_hop(headers: &mut Headers) {
    let named: Vec<String> = headers
        .iter()
        .filter(|(name, _)| *name == "connection")
        .flat_map(|(_, value)| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP.into_iter().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
}
