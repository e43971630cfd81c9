//! Takes callers' requests and answers them.

mod accept;
mod handle;

pub use accept::run;
pub use accept::run_ready;
