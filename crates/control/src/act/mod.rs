//! Operators' acts: what can be asked of a [`Control`](crate::Control), and how it ends.
//!
//! Every act carries a [`Stamp`]. The same stamp twice is the same act: the second answer tells
//! what the first one did.

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

/// Who acts, and the name of the act.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Names the act; made by the command line, the same when it asks again.
    pub operation: String,
    /// Who acts.
    pub author: String,
}
