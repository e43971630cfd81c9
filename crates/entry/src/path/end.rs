//! How a request ended, and the response to it.

use fleet::error::Kind;
use http::Response;

use crate::answer;
use crate::core::Decision;

/// How a request ended.
#[derive(Debug)]
pub(crate) enum End {
    /// An upstream ran it, with this response.
    Ran(Response),
    /// It repeats an idempotency key; this is the stored answer.
    Replayed(Response),
    /// No response of an upstream: `kind` says why, and whether the request may have run.
    Refused { kind: Kind, retry_after_secs: Option<u32> },
    /// Its caller disconnected before it was sent.
    CallerGone,
}

impl End {
    /// A refusal with the default retry time of `kind`.
    pub(crate) const fn refused(kind: Kind) -> Self {
        Self::Refused { kind, retry_after_secs: None }
    }

    /// Value of the `outcome` label in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Replayed(_) => "replayed",
            Self::Refused { kind, .. } => kind.name(),
            Self::CallerGone => "caller-gone",
        }
    }

    /// Builds the response to the caller.
    pub(crate) fn answer(self, id: &str) -> Response {
        match self {
            Self::Ran(response) | Self::Replayed(response) => answer::from_upstream(response, id),
            Self::Refused { kind, retry_after_secs } => {
                let outcome = kind.response().outcome;
                tracing::info!(event = "refuse", request = id, error = %kind, %outcome);
                answer::refusal(kind, id, retry_after_secs)
            }
            // The caller has disconnected, so this response is never sent.
            Self::CallerGone => answer::refusal(Kind::QueueTimeout, id, None),
        }
    }
}

impl From<Decision> for End {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Refused { kind, retry_after_secs } => {
                Self::Refused { kind, retry_after_secs }
            }
            // Not reached: only refusals are converted.
            Decision::Send(_) => Self::refused(Kind::QueueTimeout),
        }
    }
}
