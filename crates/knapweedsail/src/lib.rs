//! The facade over the whole system, and what its two programs are thin shells over.
//!
//! * [`demo`]: the whole path on loopback, with embedded stand-ins.
//! * [`log`]: key=value lines on standard error.
//! * [`settings`]: what a process learns from its settings file.

pub mod demo;
pub mod log;
pub mod settings;
