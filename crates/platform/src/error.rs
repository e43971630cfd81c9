//! Why a call to the platform failed.

use quick_error::quick_error;

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// It certainly had no effect: refused, shed by our own budget, or never sent.
        Unavailable(reason: String) {
            display("unavailable: {reason}")
        }
        /// It may or may not have taken effect.
        Unknown(reason: String) {
            display("effect unknown: {reason}")
        }
        /// The answer breaks the contract.
        Malformed(reason: String) {
            display("malformed answer: {reason}")
        }
    }
}
