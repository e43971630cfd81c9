//! The platform's services in memory, with fault switches.
//!
//! * [`Memory`]: implements the platform's traits directly, with no I/O, for virtual-time tests.
//! * [`Faults`]: what goes wrong, for everyone, a data centre or one client.
//! * [`Server`]: the same contract over HTTP and JSON.
//! * [`Counters`]: what was asked of it.

mod counters;
mod fault;
mod late;
mod memory;
mod serve;
mod server;
mod store;

pub use counters::Counters;
pub use counters::Rate;
pub use fault::Faults;
pub use memory::Memory;
pub use server::Server;
