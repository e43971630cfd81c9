//! Remote calls between nodes: forwards requests to the leader, many at once over one connection.

mod client;
mod frame;
mod server;

pub mod message;

pub use client::Client;
pub use client::End;
pub use client::is_gone;
pub use server::run;

use std::time::Duration;

use scheduler::job::State;

/// The leader's answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job is accepted or cancelled, and the store holds the change.
    Accepted,
    /// The request had no effect, and never will have.
    Refused {
        /// HTTP status for the caller.
        status: u16,
        /// Reason, as text for the caller.
        reason: String,
        /// Time after which the caller may try again, if that may help.
        retry: Option<Duration>,
    },
    /// The request may have taken effect, or may still do so.
    Unknown,
    /// The state of a job.
    State {
        /// The state.
        state: State,
        /// Whether any task of the job has started.
        begun: bool,
    },
    /// There is no such job.
    Missing,
    /// Number of waiting jobs of a queue.
    Count(u64),
}

/// Time after which a caller should try again if there is no leader: a change of leader takes about
/// as long.
pub const NO_LEADER_RETRY: Duration = Duration::from_secs(1);

impl Answer {
    /// The answer where no leader is known that could handle the request.
    pub fn no_leader() -> Self {
        Self::Refused {
            status: 503,
            reason: "no scheduler can be reached".to_owned(),
            retry: Some(NO_LEADER_RETRY),
        }
    }
}
