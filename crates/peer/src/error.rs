//! Why documents could not be pulled from a peer.

use std::io;

use quick_error::quick_error;
use wire::Refusal;

quick_error! {
    /// Why documents could not be pulled from a peer.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Io(error: io::Error) {
            from()
            display("{error}")
        }
        /// No whole answer in time.
        Timeout {
            display("timeout")
        }
        /// The answer is no frame for us.
        Refused(refusal: Refusal) {
            from()
            display("refused: {refusal}")
        }
        /// The peer answers too many pulls already.
        Busy {
            display("busy")
        }
        /// The documents are not those that were offered.
        Digest {
            display("digest differs")
        }
    }
}
