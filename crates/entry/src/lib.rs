//! The request path: admit, queue, balance, send, answer.
//!
//! * [`Entry`]: a running entry instance.

mod server;

pub use server::Entry;
