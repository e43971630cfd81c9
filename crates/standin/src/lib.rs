//! Small stand-ins with fault switches, for demos and tests.
//!
//! * [`upstream`]: a back end with slots and a ledger of what it ran.

pub mod upstream;
