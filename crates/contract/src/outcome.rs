//! What came of a call.

use crate::Refusal;

/// What came of a call to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// It was done, and this is the whole answer.
    Done(T),
    /// It was not done and will not be.
    Refused(Refusal),
    /// It may have been done, or may be done yet; the text says what was seen.
    Unknown(String),
}

impl<T> Outcome<T> {
    /// The answer, where it was done.
    pub fn done(self) -> Option<T> {
        match self {
            Self::Done(answer) => Some(answer),
            Self::Refused(_) | Self::Unknown(_) => None,
        }
    }

    /// Whether it is certain that nothing was done.
    pub const fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    /// Whether it may or may not have been done.
    pub const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}
