//! Why an exchange failed.

use quick_error::quick_error;

quick_error! {
    /// Why an exchange failed.
    ///
    /// A client's caller needs one distinction above all: after [`Error::NotSent`] the server
    /// cannot have run the request, after any other error it may have.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The message breaks HTTP's rules or ours.
        Malformed(reason: String) {
            display("malformed: {reason}")
        }
        /// The head is over its limit, in bytes or in fields.
        HeadTooLarge {
            display("head too large")
        }
        /// The body is over its limit.
        BodyTooLarge {
            display("body too large")
        }
        /// Too slow.
        Timeout {
            display("timeout")
        }
        /// All clients together hold too much, and this one gives way.
        Overloaded {
            display("overloaded")
        }
        /// Nothing of the request was sent.
        NotSent(reason: String) {
            display("not sent: {reason}")
        }
        /// The connection ended before the message was whole.
        Broken(reason: String) {
            display("broken: {reason}")
        }
    }
}

impl Error {
    /// The status that a server owes a caller for this; nothing for what only clients meet.
    pub const fn status(&self) -> Option<u16> {
        match self {
            Self::Malformed(_) | Self::Broken(_) => Some(400),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::Timeout => Some(408),
            Self::Overloaded => Some(503),
            Self::NotSent(_) => None,
        }
    }

    pub(crate) fn malformed(error: impl std::fmt::Display) -> Self {
        Self::Malformed(error.to_string())
    }

    pub(crate) fn broken(error: impl std::fmt::Display) -> Self {
        Self::Broken(error.to_string())
    }

    pub(crate) fn not_sent(error: impl std::fmt::Display) -> Self {
        Self::NotSent(error.to_string())
    }
}
