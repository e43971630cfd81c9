//! Scheduling decisions for queues of jobs, without I/O: events in, commands out, the present time
//! an argument.
//!
//! * [`Config`]: queues and services, as the operator configured them.
//! * [`credential`]: keys of callers, and whether a call is served.
//! * [`job`]: jobs, their steps and tasks, and the rows that persist them.
//! * [`instance`]: instances that run tasks under leases, and their heartbeats.
//! * [`interference`]: which tasks slow each other down on one instance.
//! * [`machine`]: the machines beneath instances, and maintenance waves.
//! * [`tenant`]: tenants on whose behalf jobs run.
//! * [`Core`]: the scheduler.
//! * [`Command`]: a call from the scheduler to an instance.
//! * [`Tuning`]: timeouts, weights and limits of the scheduler.

pub mod command;
pub mod config;
pub mod core;
pub mod credential;
pub mod instance;
pub mod interference;
pub mod job;
pub mod machine;
pub mod tenant;
pub mod tuning;

pub use command::Command;
pub use config::Config;
pub use core::Core;
pub use tuning::Tuning;
