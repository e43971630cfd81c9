//! The outcome of a call.

use crate::Refusal;

/// The outcome of a call to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The call was executed. Holds the response body.
    Done(T),
    /// The call was not executed and never will be.
    Refused(Refusal),
    /// The call may have been executed or may still be. The text describes the error.
    Unknown(String),
}

impl<T> Outcome<T> {
    /// The response body, if the call was executed.
    pub fn done(self) -> Option<T> {
        match self {
            Self::Done(body) => Some(body),
            Self::Refused(_) | Self::Unknown(_) => None,
        }
    }

    /// Whether the call certainly had no effect.
    pub const fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// Whether it is not known if the call was executed.
    pub const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
