//! Pure decisions over queues of jobs: events in, orders out, the present time an argument.
//!
//! * [`Config`]: queues and services as the operator wrote them.
//! * [`job`]: jobs, their steps and tasks, and the rows that keep them.
//! * [`runner`]: instances that run tasks under leases, and what they report.
//! * [`machine`]: the machines beneath instances, and waves of maintenance over them.
//! * [`Core`]: the scheduler itself.
//! * [`Order`]: what it asks of instances.
//! * [`Tuning`]: its weights and limits.

pub mod command;
pub mod config;
pub mod core;
pub mod instance;
pub mod job;
pub mod machine;
pub mod tuning;

pub use command::Command;
pub use config::Config;
pub use core::Core;
pub use tuning::Tuning;
