//! The scheduler process, one per machine of a site.
//!
//! Every node accepts requests of callers at its [`frontend`]. One node at a time is the leader:
//! its [`leader`] module schedules the jobs of all nodes. The leader is chosen by [`election`]
//! through a row of the store; the other nodes forward their requests to it by [`rpc`].

pub mod access;
pub mod budget;
pub mod clock;
pub mod contain;
pub mod election;
pub mod frontend;
pub mod leader;
pub mod listener;
pub mod log;
pub mod metrics;
pub mod rows;
pub mod rpc;
pub mod signal;
pub mod slowness;
pub mod state;
pub mod watch;

mod serve;

pub use serve::block_on;
pub use serve::serve;
pub use state::Node;
