//! The request path: admit, queue, balance, send, answer.
//!
//! * [`Entry`]: a running request path; [`Settings`]: its settings at start.
//!
//! Modules that decide. They take the present time as an argument and do no I/O:
//!
//! * [`caller`]: parses the headers of callers' requests.
//! * [`queue`]: admission control and fair queueing of requests that wait for a slot.
//! * [`upstream`]: slots and health of upstreams, and load balancing between them.
//! * [`connection`]: pools of idle connections to upstreams.
//! * [`retry`]: retry budgets.
//! * [`pause`]: detects that the process was suspended.
//! * [`state`]: the tables that these modules work on.
//!
//! Modules that do I/O, and formats:
//!
//! * [`claim`]: idempotency keys, stored in the table service.
//! * [`answer`]: builds responses to callers.
//! * [`metric`]: metrics of the request path.

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
