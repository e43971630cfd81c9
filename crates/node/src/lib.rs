//! The process that runs on the users' platform.
//!
//! Every node takes callers' requests at its [`door`]. One of them at a time is in office: its
//! [`reign`] schedules the jobs of all. Who is in office is settled by [`election`] through a row
//! of the store; doors hand requests over by [`link`].

pub mod clock;
pub mod count;
pub mod door;
pub mod election;
pub mod link;
pub mod log;
pub mod pulse;
pub mod reign;
pub mod rows;
pub mod signal;
pub mod site;
pub mod watch;

mod serve;

pub use serve::serve;
pub use site::Node;
