//! Why a trace can't be used.

use quick_error::quick_error;

quick_error! {
    /// Why a trace can't be used.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The file can't be read.
        Read(path: String, reason: String) {
            display("{}: {}", path, reason)
        }
        /// There is no line in it.
        Empty {
            display("the trace is empty: its first line must be the setup")
        }
        /// A line is not what it should be.
        Line(number: usize, reason: String) {
            display("line {}: {}", number, reason)
        }
        /// Something is named that the setup doesn't have.
        Unknown(kind: &'static str, name: String) {
            display("the setup has no {} {}", kind, name)
        }
    }
}
