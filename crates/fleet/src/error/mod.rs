//! The closed list of error kinds, and the table from kind to answer.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// What became of a request, as its caller is told.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and the whole answer is here.
    #[display("ran")]
    Ran,
    /// It did not run, and will not.
    #[display("not-run")]
    NotRun,
    /// It was sent and no whole answer came back.
    #[display("unknown")]
    Unknown,
}

/// Every way in which a request can end without its upstream's answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}", self.name())]
pub enum Kind {
    /// The request breaks HTTP's rules or ours.
    BadRequest,
    /// The head is over its limit.
    HeadTooLarge,
    /// The body is over its limit.
    BodyTooLarge,
    /// The caller was too slow in sending its request.
    CallerTooSlow,
    /// No service has this route.
    NoRoute,
    /// The service's queue, or the team's part of it, is full.
    QueueFull,
    /// The deadline passed, or could not be met, while the request was queued.
    QueueTimeout,
    /// No upstream of the pool can be sent to.
    NoUpstream,
    /// Each upstream that was asked refused before running it.
    UpstreamRefused,
    /// The claim on the idempotency key could not be recorded.
    ClaimUnavailable,
    /// The same idempotency key came with a different request.
    KeyMismatch,
    /// Another request with this idempotency key is still running.
    KeyRunning,
    /// An earlier request with this idempotency key ended without a known answer.
    KeyUnknown,
    /// An earlier request with this idempotency key ran; its answer was too large to keep.
    AnswerNotKept,
    /// This entry is stopping.
    Stopping,
    /// The request was sent and the deadline passed with no whole answer.
    UpstreamTimeout,
    /// The request was sent and the connection ended with no whole answer.
    UpstreamBroken,
}

/// What the caller is told for a [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Whether it ran.
    pub outcome: Outcome,
    /// Seconds for `Retry-After`, where coming back later may help.
    pub retry_after_secs: Option<u32>,
    /// Whether the same request may be sent again at no risk of running twice.
    pub safe_to_retry: bool,
}

impl Kind {
    /// All kinds, in the order of the table in docs/CALLERS.md.
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

    /// Its name in headers, logs and metrics.
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

    /// The table from kind to answer.
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
    const fn not_run(status: u16, retry_after_secs: Option<u32>, may_repeat: bool) -> Self {
        Self { status, outcome: Outcome::NotRun, retry_after_secs, safe_to_retry: may_repeat }
    }

    const fn unknown(status: u16) -> Self {
        Self { status, outcome: Outcome::Unknown, retry_after_secs: None, safe_to_retry: false }
    }
}
