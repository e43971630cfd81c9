//! Why a row can't be read.

use quick_error::quick_error;

quick_error! {
    /// Why a row can't be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The key is not of the form that its kind has.
        Key(key: String) {
            display("row key {} is malformed", key)
        }
        /// The value is not what its kind holds.
        Value(key: String, reason: String) {
            display("row {} is malformed: {}", key, reason)
        }
    }
}
