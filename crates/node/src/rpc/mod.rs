//! Hands requests to the node in office, by frames over one connection.

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

/// What the node in office says to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job is accepted, or the cancel done: the store holds it.
    Accepted,
    /// Nothing was done, and nothing will be.
    Refused {
        /// Status for the caller.
        status: u16,
        /// Why.
        reason: String,
        /// When to come back.
        retry: Option<Duration>,
    },
    /// It may have been done.
    Unknown,
    /// The state of a job.
    State {
        /// Its state.
        state: State,
        /// Whether any task of it has started.
        begun: bool,
    },
    /// There is no such job.
    Missing,
    /// How many jobs wait.
    Count(u64),
}

/// How long a caller that meets no node in office should stay away: a change of office takes
/// about as long.
pub const NO_LEADER_RETRY: Duration = Duration::from_secs(1);

impl Answer {
    /// Nobody is in office that could take it.
    pub fn no_leader() -> Self {
        Self::Refused {
            status: 503,
            reason: "no scheduler can be reached".to_owned(),
            retry: Some(NO_LEADER_RETRY),
        }
    }
}
