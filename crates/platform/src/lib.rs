//! The platform's services, each behind one small trait: what must last or be agreed lives there.
//!
//! * [`table`]: rows with versions and conditional transactions.
//! * [`object`]: whole objects by name.
//! * [`instance`]: the lagging list of live and leaving instances.
//! * [`rest`]: the same contract in HTTP and JSON.

pub mod error;
pub mod instance;
pub mod object;
pub mod rest;
pub mod table;

pub use error::Error;
