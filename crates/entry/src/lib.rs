//! The request path: admit, queue, balance, send, answer.
//!
//! * [`Entry`]: a running entry instance; [`Settings`]: what it is told when it starts.
//!
//! The decisions are told the time and do no I/O:
//!
//! * [`caller`]: what a caller asks for in its headers.
//! * [`queue`]: who waits for a slot and who goes next.
//! * [`upstream`]: slots, health, and which upstream gets a request.
//! * [`connection`]: which open connection may be trusted.
//! * [`retry`]: how many requests may be sent again.
//! * [`pause`]: whether the process was not running for a while.
//! * [`state`]: the tables that these work on.
//!
//! Around them:
//!
//! * [`claim`]: idempotency keys in the table service.
//! * [`answer`]: what a caller is told.
//! * [`metric`]: how all this is going.

mod core;
mod path;
mod server;

pub mod answer;
pub mod caller;
pub mod claim;
pub mod clock;
pub mod connection;
pub mod key;
pub mod metric;
pub mod pause;
pub mod queue;
pub mod retry;
pub mod settings;
pub mod state;
pub mod upstream;

pub use server::Entry;
pub use server::Stopped;
pub use settings::Settings;
