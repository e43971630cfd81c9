//! The facade over the whole system, and what its two programs are thin shells over.
//!
//! * [`api`]: what operators' programs and entries say to each other.
//! * [`admin`]: an entry's address for operators.
//! * [`cli`]: the operators' command line.
//! * [`daemon`]: one entry instance, whole.
//! * [`demo`]: the whole path on loopback, with embedded stand-ins.
//! * [`log`]: key=value lines on standard error.
//! * [`settings`]: what a process learns from its settings file.

pub mod admin;
pub mod api;
pub mod cli;
pub mod daemon;
pub mod demo;
pub mod log;
pub mod settings;
