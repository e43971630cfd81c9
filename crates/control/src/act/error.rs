//! How an act fails.

use fleet::template::Problem;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Difference;

quick_error! {
    /// How an act fails. But for [`Error::Unknown`], nothing was changed.
    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Error {
        /// There is no such thing.
        NotFound(what: String) {
            display("there is no {what}")
        }
        /// It cannot be done, and why.
        Refused(reason: String) {
            display("refused: {reason}")
        }
        /// The documents cannot be applied.
        Invalid(problems: Vec<Problem>) {
            display("{} problems in the documents", problems.len())
        }
        /// Someone else was first; this is what has changed since the revision that was seen.
        Raced(difference: Difference) {
            display("revision {} is in force, not {}", difference.current, difference.seen)
        }
        /// The platform cannot be reached; nothing was recorded.
        Unavailable(reason: String) {
            display("not recorded: {reason}")
        }
        /// It may have been recorded; ask again with the same operation to find out.
        Unknown(reason: String) {
            display("may have been recorded, ask again with the same operation: {reason}")
        }
        /// This entry is stopping.
        Stopping {
            display("this entry is stopping")
        }
    }
}
