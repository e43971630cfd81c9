//! Errors of reading rows.

use quick_error::quick_error;

quick_error! {
    /// Why a row cannot be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The key doesn't have the form that its kind requires.
        Key(key: String) {
            display("row key {} is malformed", key)
        }
        /// The value isn't valid JSON of the row type of its kind.
        Value(key: String, reason: String) {
            display("row {} is malformed: {}", key, reason)
        }
    }
}
