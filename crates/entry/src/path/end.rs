//! How a request ended.

use fleet::error::Kind;
use http::Response;

use crate::answer;
use crate::core::Decision;

/// How a request ended.
#[derive(Debug)]
pub(crate) enum End {
    /// An upstream ran it.
    Ran(Response),
    /// An upstream ran it earlier, and this was the answer.
    Replayed(Response),
    /// There is no upstream's answer.
    Refused { kind: Kind, retry_after_secs: Option<u32> },
    /// Its caller went away before it was sent.
    CallerGone,
}

impl End {
    pub(crate) const fn refused(kind: Kind) -> Self {
        Self::Refused { kind, retry_after_secs: None }
    }

    /// A word for metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Replayed(_) => "replayed",
            Self::Refused { kind, .. } => kind.name(),
            Self::CallerGone => "caller-gone",
        }
    }

    /// What the caller is told.
    pub(crate) fn answer(self, id: &str) -> Response {
        match self {
            Self::Ran(response) | Self::Replayed(response) => answer::ran(response, id),
            Self::Refused { kind, retry_after_secs } => {
                let outcome = kind.response().outcome;
                tracing::info!(event = "refuse", request = id, error = %kind, %outcome);
                answer::refusal(kind, id, retry_after_secs)
            }
            // Nobody reads this one.
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
            Decision::Send(_) => Self::refused(Kind::QueueTimeout),
        }
    }
}
