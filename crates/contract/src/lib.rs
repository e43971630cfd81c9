//! The HTTP contract between our entries and the instances they drive.
//!
//! Every path starts with [`PREFIX`]; all else on an instance's address is its service's own.
//! docs/UPSTREAMS.md describes the contract for those who implement it.
//!
//! * [`Health`], [`Drain`], [`Start`], [`Target`], [`Throttle`], [`Renew`], [`Report`]: the
//!   messages.
//! * [`Lease`]: the right to run, counted on the instance's own clock.
//! * [`Refusal`]: why an instance did not do as it was told; it then did nothing at all.
//! * [`Client`]: tells an instance what to do, and says what came of it as an [`Outcome`].
//! * [`Call`]: a request as an instance reads it.

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

/// Where the contract's paths start.
pub const PREFIX: &str = "/.knapweedsail/";

/// Header that names what became of a request.
pub const OUTCOME_HEADER: &str = "knapweedsail-outcome";

/// Value of [`OUTCOME_HEADER`] for a request that did not run and will not.
pub const NOT_RUN: &str = "not-run";

/// Longest body of a contract message, bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
