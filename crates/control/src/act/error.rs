//! Errors of operator actions.

use fleet::template::Problem;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Difference;

quick_error! {
    /// An error of an operator action. Nothing was changed, except possibly for [`Error::Unknown`].
    #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Error {
        /// The entity that the action names does not exist.
        NotFound(what: String) {
            display("there is no {what}")
        }
        /// The action is not allowed in the present state.
        Refused(reason: String) {
            display("refused: {reason}")
        }
        /// The documents have errors.
        Invalid(problems: Vec<Problem>) {
            display("{} problems in the documents", problems.len())
        }
        /// Another change was recorded first. Contains the revisions recorded since the one that
        /// this change was based on.
        Raced(difference: Difference) {
            display("revision {} is in force, not {}", difference.current, difference.seen)
        }
        /// The platform cannot be reached; nothing was recorded.
        Unavailable(reason: String) {
            display("not recorded: {reason}")
        }
        /// The outcome is unknown. A retry with the same operation name determines it.
        Unknown(reason: String) {
            display("may have been recorded, ask again with the same operation: {reason}")
        }
        /// This entry is stopping.
        Stopping {
            display("this entry is stopping")
        }
    }
}
