//! Why an exchange failed.

use quick_error::quick_error;

quick_error! {
    /// Why an exchange failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The message breaks HTTP's rules or ours.
        Malformed(reason: String) {
            display("malformed: {reason}")
        }
        /// The head is over its limit.
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
