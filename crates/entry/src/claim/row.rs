//! The row of an idempotency key in the table service.

use std::time::Duration;

use fleet::error::Kind;
use fleet::view::Route;
use http::Headers;
use http::Request;
use http::Response;
use platform::table;
use platform::table::Version;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Prefix of the keys of these rows.
pub const PREFIX: &str = "key/";

/// Maximum length of the body of a stored answer, in bytes.
pub const MAX_ANSWER: usize = 16 << 10;

/// Maximum difference between the wall clocks of entries.
const CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Header fields that belong to one exchange and are not stored.
const OMITTED_FIELDS: [&str; 4] = ["connection", "content-length", "date", "transfer-encoding"];

/// The row key of an idempotency key on a route.
pub fn row_key(route: &Route, key: &str) -> String {
    format!("{PREFIX}{}/{}/{key}", route.organisation, route.service)
}

/// A hash of a request; all requests with the same idempotency key must have the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Hashes a request's method, target and body.
    pub fn new(request: &Request) -> Self {
        let mut hash = Sha256::new();
        for part in [request.method.as_bytes(), request.target.as_bytes(), &request.body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(to_hex(&hash.finalize()))
    }
}

/// State of the request that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may be running.
    Claimed {
        /// Deadline of the request, in milliseconds since the Unix epoch.
        until_ms: u64,
    },
    /// It ran, with this answer.
    Answered(Answer),
    /// It ran; its answer was too large to store.
    AnswerNotKept,
    /// It may have run; no complete answer was received.
    Unknown,
    /// It did not run, so the key may be claimed again.
    NotRun,
}

/// A stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Body {
    Text(String),
    Hex(String),
}

/// Value of a row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// When the key was claimed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Id of the request that claimed the key.
    pub request: String,
    /// Fingerprint of that request.
    pub fingerprint: Fingerprint,
    /// State of that request.
    pub state: State,
}

/// How an existing row decides about a request with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The request ran before; this is the stored answer.
    Answered(Response),
    /// The request may not run.
    Refused(Kind),
    /// The earlier request did not run: the key may be claimed by replacing this version.
    Reclaim(Version),
}

impl Value {
    /// Encodes the value as JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a value of numbers and strings can be encoded")
    }
}

impl State {
    /// The state to store for a request that got this response.
    pub fn from_response(response: &Response) -> Self {
        if response.body.len() > MAX_ANSWER {
            return Self::AnswerNotKept;
        }
        let fields = response.headers.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(name));
        let headers = fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let body = match std::str::from_utf8(&response.body) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(to_hex(&response.body)),
        };
        Self::Answered(Answer { status: response.status, headers, body })
    }
}

impl Answer {
    /// Restores the response. `None` if the stored body is invalid.
    pub fn to_response(&self) -> Option<Response> {
        let body = match &self.body {
            Body::Text(text) => text.clone().into_bytes(),
            Body::Hex(digits) => from_hex(digits)?,
        };
        Some(Response { status: self.status, headers: Headers::from(self.headers.clone()), body })
    }
}

/// Decides by `row` about a request with this fingerprint. `wall` is the time since the Unix epoch.
/// A row that cannot be parsed refuses the request, since an earlier one may have run.
pub fn resolve(row: &table::Row, fingerprint: &Fingerprint, wall: Duration) -> Resolution {
    let Ok(value) = serde_json::from_str::<Value>(&row.value) else {
        return Resolution::Refused(Kind::KeyUnknown);
    };
    if value.state == State::NotRun {
        return Resolution::Reclaim(row.version);
    }
    if value.fingerprint != *fingerprint {
        return Resolution::Refused(Kind::KeyMismatch);
    }
    match value.state {
        State::Answered(answer) => match answer.to_response() {
            Some(response) => Resolution::Answered(response.with_header(REPLAY_OF, value.request)),
            None => Resolution::Refused(Kind::KeyUnknown),
        },
        State::Claimed { until_ms } if wall <= Duration::from_millis(until_ms) + CLOCK_SKEW => {
            Resolution::Refused(Kind::KeyRunning)
        }
        State::AnswerNotKept => Resolution::Refused(Kind::AnswerNotKept),
        State::Claimed { .. } | State::Unknown | State::NotRun => {
            Resolution::Refused(Kind::KeyUnknown)
        }
    }
}

/// Whether a row is older than `retention`. False for a row that cannot be parsed.
pub fn is_expired(row: &table::Row, retention: Duration, wall: Duration) -> bool {
    let value: Result<Value, _> = serde_json::from_str(&row.value);
    value.is_ok_and(|value| Duration::from_millis(value.at_ms) + retention < wall)
}

/// Header of a replayed answer with the id of the request that ran.
pub const REPLAY_OF: &str = "knapweedsail-replay-of";

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Option<Vec<u8>> {
    if !digits.is_ascii() || !digits.len().is_multiple_of(2) {
        return None;
    }
    let pairs = (0..digits.len()).step_by(2);
    pairs.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).ok()).collect()
}
