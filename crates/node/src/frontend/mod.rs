//! Accepts callers' connections and answers their requests.

mod accept;
mod call;
mod handle;

pub use accept::run;
pub use accept::run_ready;
