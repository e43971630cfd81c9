//! What the table service keeps about an idempotency key.

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

/// Prefix of all rows for idempotency keys.
pub const PREFIX: &str = "key/";

/// Longest body of an answer that is kept, bytes.
pub const MAX_ANSWER: usize = 16 << 10;

/// Entries' wall clocks may differ by this much.
const CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Fields of an answer that belong to one exchange and are not kept.
const OMITTED_FIELDS: [&str; 4] = ["connection", "content-length", "date", "transfer-encoding"];

/// The row of a key.
pub fn row_key(route: &Route, key: &str) -> String {
    format!("{PREFIX}{}/{}/{key}", route.organisation, route.service)
}

/// Tells requests apart: repeats of a key must have the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// The fingerprint of a request's method, target and body.
    pub fn new(request: &Request) -> Self {
        let mut hash = Sha256::new();
        for part in [request.method.as_bytes(), request.target.as_bytes(), &request.body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(to_hex(&hash.finalize()))
    }
}

/// What is known about a key's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may be running, until this many milliseconds since 1970.
    Claimed {
        /// When the claim's deadline passes.
        until_ms: u64,
    },
    /// It ran, and this was the answer.
    Answered(Answer),
    /// It ran; its answer is too large to be kept.
    AnswerNotKept,
    /// It may have run; no whole answer came.
    Unknown,
    /// It did not run. The key may be claimed again.
    NotRun,
}

/// An answer that is kept.
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

/// The value of a key's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Milliseconds since 1970 at which the key was claimed.
    pub at_ms: u64,
    /// The request id of the first request.
    pub request: String,
    /// The request that the key belongs to.
    pub fingerprint: Fingerprint,
    /// What is known about it.
    pub state: State,
}

/// What a row that is there already means for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The same request was answered before; this was the answer.
    Answered(Response),
    /// It can't be run.
    Refused(Kind),
    /// The earlier one did not run: claim over this version.
    Reclaim(Version),
}

impl Value {
    /// The JSON text of a row.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("plain structs of numbers and strings can be written")
    }
}

impl State {
    /// What to keep of an answer.
    pub fn answered(response: &Response) -> Self {
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
    /// The answer, to give again. Nothing if the row has been tampered with.
    pub fn to_response(&self) -> Option<Response> {
        let body = match &self.body {
            Body::Text(text) => text.clone().into_bytes(),
            Body::Hex(digits) => from_hex(digits)?,
        };
        Some(Response { status: self.status, headers: Headers::from(self.headers.clone()), body })
    }
}

/// What `row` means for a request with this fingerprint; `wall` is the time since 1970.
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

/// Whether a row is older than keys are kept.
pub fn is_expired(row: &table::Row, retention: Duration, wall: Duration) -> bool {
    let value: Result<Value, _> = serde_json::from_str(&row.value);
    value.is_ok_and(|value| Duration::from_millis(value.at_ms) + retention < wall)
}

/// Header of an answer given again: the id of the request that ran.
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
