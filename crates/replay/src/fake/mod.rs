//! Small fakes at the interfaces: the table service, the machines, the requests.
//!
//! They model what a decision can see and cause, with lags; they model no network.

mod crew;
mod machine;
mod request;
mod site;
mod store;
mod worker;

pub use crew::Crew;
pub use crew::Known;
pub use machine::Machine;
pub use machine::Power;
pub use request::Queue;
pub use request::Requests;
pub use site::Site;
pub use store::Commit;
pub use store::Logged;
pub use store::Store;
pub use worker::Task;
pub use worker::Worker;
