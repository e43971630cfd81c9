//! The process that runs on the users' platform.
//!
//! Every node takes callers' requests at its [`door`]. One of them at a time is in office: its
//! [`reign`] schedules the jobs of all. Who is in office is settled by [`election`] through a row
//! of the store; doors hand requests over by [`link`].

pub mod clock;
pub mod election;
pub mod frontend;
pub mod leader;
pub mod log;
pub mod metrics;
pub mod rows;
pub mod rpc;
pub mod signal;
pub mod slowness;
pub mod state;
pub mod watch;

mod serve;

pub use serve::serve;
pub use state::Node;
