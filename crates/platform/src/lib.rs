//! The platform's services, each behind one small trait: what must last or be agreed lives there.
//!
//! * [`table`]: rows with versions and conditional transactions.
//! * [`object`]: whole objects by name.
//! * [`instance`]: the lagging list of live and leaving instances.
//! * [`rest`]: the same contract in HTTP and JSON.
//! * [`client`]: implements all three over HTTP.
//! * [`outage`], [`budget`], [`backoff`]: what decides whether and when a call is sent.
//! * [`settle`]: commits whose replies were lost.
//! * [`snapshot`]: the table's state as an object, for new entries.
//! * [`wait`]: waiting, behind a trait.

mod clock;

pub mod backoff;
pub mod budget;
pub mod client;
pub mod error;
pub mod instance;
pub mod object;
pub mod outage;
pub mod rest;
pub mod settle;
pub mod snapshot;
pub mod table;
pub mod wait;

pub use client::Client;
pub use error::Error;
