//! Messages of the contract, all of them JSON objects. Unknown fields are ignored.

mod attempt;
mod health;
mod lease;
mod refusal;
mod report;
mod size;

pub use attempt::Start;
pub use attempt::Target;
pub use attempt::Throttle;
pub use health::Drain;
pub use health::Health;
pub use health::Serving;
pub use lease::Lease;
pub use lease::Moment;
pub use lease::Renew;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use report::Attempt;
pub use report::Phase;
pub use report::Report;
pub use size::Size;
