//! The HTTP contract between entries and the instances that they control.
//!
//! Every path of the contract starts with [`PREFIX`]; all other paths on an instance's address
//! belong to its service. docs/UPSTREAMS.md describes the contract for implementers of instances.
//!
//! * [`Drain`], [`Renew`], [`Start`], [`Throttle`], [`Target`]: request bodies.
//! * [`Health`], [`Report`], [`Attempt`]: response bodies.
//! * [`Lease`]: the right to run attempts until a time on the instance's own clock.
//! * [`Refusal`]: why an instance rejected a call. A rejected call has no effect.
//! * [`Client`]: sends calls to an instance and returns the [`Outcome`] of each.
//! * [`Call`]: a request of the contract, parsed by an instance or sent by the client.

mod call;
mod client;
mod command;
mod message;
mod outcome;

pub use call::Call;
pub use call::answer;
pub use client::Client;
pub use message::Attempt;
pub use message::Drain;
pub use message::Health;
pub use message::Lease;
pub use message::Moment;
pub use message::Phase;
pub use message::Reason;
pub use message::Refusal;
pub use message::Renew;
pub use message::Report;
pub use message::Serving;
pub use message::Size;
pub use message::Start;
pub use message::Target;
pub use message::Throttle;
pub use outcome::Outcome;

/// Prefix of every path of the contract.
pub const PREFIX: &str = "/.knapweedsail/";

/// Response header that says whether a request was executed.
pub const OUTCOME_HEADER: &str = "knapweedsail-outcome";

/// Value of [`OUTCOME_HEADER`] for a request that was not executed and never will be.
pub const NOT_RUN: &str = "not-run";

/// Maximum size of the body of a contract message, bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
