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
pub enum Kind {
    /// The request breaks HTTP's rules or ours.
    #[display("bad-request")]
    BadRequest,
    /// The head is over its limit.
    #[display("head-too-large")]
    HeadTooLarge,
    /// The body is over its limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The caller was too slow in sending its request.
    #[display("caller-too-slow")]
    CallerTooSlow,
    /// No service has this route.
    #[display("no-route")]
    NoRoute,
    /// The service's queue, or the team's part of it, is full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline passed, or could not be met, while the request was queued.
    #[display("queue-timeout")]
    QueueTimeout,
    /// No upstream of the pool can be sent to.
    #[display("no-upstream")]
    NoUpstream,
    /// Each upstream that was asked refused before running it.
    #[display("upstream-refused")]
    UpstreamRefused,
    /// The claim on the idempotency key could not be recorded.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// The same idempotency key came with a different request.
    #[display("key-mismatch")]
    KeyMismatch,
    /// Another request with this idempotency key is still running.
    #[display("key-running")]
    KeyRunning,
    /// An earlier request with this idempotency key ended without a known answer.
    #[display("key-unknown")]
    KeyUnknown,
    /// This entry is stopping.
    #[display("stopping")]
    Stopping,
    /// The request was sent and the deadline passed with no whole answer.
    #[display("upstream-timeout")]
    UpstreamTimeout,
    /// The request was sent and the connection ended with no whole answer.
    #[display("upstream-broken")]
    UpstreamBroken,
}

/// What the caller is told for a [`Kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether it ran.
    pub outcome: Outcome,
    /// Seconds for `Retry-After`, where coming back later may help.
    pub retry_after_secs: Option<u32>,
    /// Whether the same request may be sent again at no risk of running twice.
    pub may_repeat: bool,
}

impl Kind {
    /// All kinds, in the order of the table in docs/CALLERS.md.
    pub const ALL: [Self; 16] = [
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
        Self::Stopping,
        Self::UpstreamTimeout,
        Self::UpstreamBroken,
    ];

    /// The table from kind to answer.
    pub const fn answer(self) -> Answer {
        match self {
            Self::BadRequest => Answer::not_run(400, None, false),
            Self::HeadTooLarge => Answer::not_run(431, None, false),
            Self::BodyTooLarge => Answer::not_run(413, None, false),
            Self::CallerTooSlow => Answer::not_run(408, None, true),
            Self::NoRoute => Answer::not_run(404, None, false),
            Self::QueueFull => Answer::not_run(503, Some(1), true),
            Self::QueueTimeout => Answer::not_run(503, Some(1), true),
            Self::NoUpstream => Answer::not_run(503, Some(2), true),
            Self::UpstreamRefused => Answer::not_run(503, Some(1), true),
            Self::ClaimUnavailable => Answer::not_run(503, Some(2), true),
            Self::KeyMismatch => Answer::not_run(422, None, false),
            Self::KeyRunning => Answer::not_run(409, Some(1), true),
            Self::KeyUnknown => Answer::unknown(409),
            Self::Stopping => Answer::not_run(503, Some(1), true),
            Self::UpstreamTimeout => Answer::unknown(504),
            Self::UpstreamBroken => Answer::unknown(502),
        }
    }
}

impl Answer {
    const fn not_run(status: u16, retry_after_secs: Option<u32>, may_repeat: bool) -> Self {
        Self { status, outcome: Outcome::NotRun, retry_after_secs, may_repeat }
    }

    const fn unknown(status: u16) -> Self {
        Self { status, outcome: Outcome::Unknown, retry_after_secs: None, may_repeat: false }
    }
}
