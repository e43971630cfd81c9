//! Operator actions: the arguments and results of requests to a [`Control`](crate::Control).
//!
//! Every action carries a [`Stamp`], which makes it idempotent: a retry with the same stamp changes
//! nothing and returns the result of the first try.

mod error;
mod instance;
mod job;
mod wave;

pub use error::Error;
pub use instance::Instance;
pub use instance::Recorded;
pub use job::Explanation;
pub use job::Job;
pub use job::Resolution;
pub use job::Submission;
pub use wave::Wave;
pub use wave::WaveCommand;

use serde::Deserialize;
use serde::Serialize;

/// The author of an action, and its idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Operation name of the action. The command line generates it, and repeats it in a retry.
    pub operation: String,
    /// Name of the operator.
    pub author: String,
}
