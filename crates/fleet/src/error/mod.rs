//! All kinds of request errors, and the HTTP response for each.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as reported to its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and its response is complete.
    #[display("ran")]
    Ran,
    /// It didn't run and won't run.
    #[display("not-run")]
    NotRun,
    /// It was sent, but no complete response was received.
    #[display("unknown")]
    Unknown,
}

/// Every way in which a request can end without a response from its upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}", self.name())]
pub enum Kind {
    /// The request violates HTTP, or the stricter rules that entries apply.
    BadRequest,
    /// The request head exceeds its size limit.
    HeadTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The caller was too slow in sending its request.
    CallerTooSlow,
    /// No service is configured for this route.
    NoRoute,
    /// The service's queue, or the team's share of it, is full.
    QueueFull,
    /// The deadline passed, or could no longer be met, while the request was queued.
    QueueTimeout,
    /// No upstream of the pool is available.
    NoUpstream,
    /// Every upstream that was tried rejected the request before running it.
    UpstreamRefused,
    /// The claim on the idempotency key could not be stored.
    ClaimUnavailable,
    /// The idempotency key was already used with a different request.
    KeyMismatch,
    /// Another request with this idempotency key is still running.
    KeyRunning,
    /// An earlier request with this idempotency key ended with an unknown outcome.
    KeyUnknown,
    /// An earlier request with this idempotency key ran, but its response was too large to store.
    AnswerNotKept,
    /// This entry is shutting down.
    Stopping,
    /// The request was sent and the deadline passed before the response was complete.
    UpstreamTimeout,
    /// The request was sent and the connection closed before the response was complete.
    UpstreamBroken,
}

/// The response to the caller for a [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Value of the `Retry-After` header in seconds, if a later retry may succeed.
    pub retry_after_secs: Option<u32>,
    /// Whether the same request can be sent again without the risk that it runs twice.
    pub safe_to_retry: bool,
}

impl Kind {
    /// All kinds, in the order of the table in `docs/CALLERS.md`.
    pub const ALL: [Self; 17] = [
        Self::BadRequest,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::CallerTooSlow,
        Self::NoRoute,
        Self::QueueFull,
        Self::QueueTimeout,
        Self::NoUpstream,
        Self::UpstreamRefused,
        Self::ClaimUnavailable,
        Self::KeyMismatch,
        Self::KeyRunning,
        Self::KeyUnknown,
        Self::AnswerNotKept,
        Self::Stopping,
        Self::UpstreamTimeout,
        Self::UpstreamBroken,
    ];

    /// Returns the name used in headers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::CallerTooSlow => "caller-too-slow",
            Self::NoRoute => "no-route",
            Self::QueueFull => "queue-full",
            Self::QueueTimeout => "queue-timeout",
            Self::NoUpstream => "no-upstream",
            Self::UpstreamRefused => "upstream-refused",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::KeyMismatch => "key-mismatch",
            Self::KeyRunning => "key-running",
            Self::KeyUnknown => "key-unknown",
            Self::AnswerNotKept => "answer-not-kept",
            Self::Stopping => "stopping",
            Self::UpstreamTimeout => "upstream-timeout",
            Self::UpstreamBroken => "upstream-broken",
        }
    }

    /// Returns the response for this kind.
    pub const fn response(self) -> Response {
        match self {
            Self::BadRequest => Response::not_run(400, None, false),
            Self::HeadTooLarge => Response::not_run(431, None, false),
            Self::BodyTooLarge => Response::not_run(413, None, false),
            Self::CallerTooSlow => Response::not_run(408, None, true),
            Self::NoRoute => Response::not_run(404, None, false),
            Self::QueueFull => Response::not_run(503, Some(1), true),
            Self::QueueTimeout => Response::not_run(503, Some(1), true),
            Self::NoUpstream => Response::not_run(503, Some(2), true),
            Self::UpstreamRefused => Response::not_run(503, Some(1), true),
            Self::ClaimUnavailable => Response::not_run(503, Some(2), true),
            Self::KeyMismatch => Response::not_run(422, None, false),
            Self::KeyRunning => Response::not_run(409, Some(1), true),
            Self::KeyUnknown | Self::AnswerNotKept => Response::unknown(409),
            Self::Stopping => Response::not_run(503, Some(1), true),
            Self::UpstreamTimeout => Response::unknown(504),
            Self::UpstreamBroken => Response::unknown(502),
        }
    }
}

impl Response {
    const fn not_run(status: u16, retry_after_secs: Option<u32>, safe_to_retry: bool) -> Self {
        Self { status, outcome: Outcome::NotRun, retry_after_secs, safe_to_retry }
    }

    const fn unknown(status: u16) -> Self {
        Self { status, outcome: Outcome::Unknown, retry_after_secs: None, safe_to_retry: false }
    }
}
