//! The operators' command line.
//!
//! * [`command`]: what can be typed.
//! * [`client`]: how an entry is asked.
//! * [`exit`]: how a command ends.
//! * [`show`]: how an answer looks.

pub mod client;
pub mod command;
pub mod exit;
pub mod show;

mod configuration;
mod demo;
mod replay;
mod run;

pub use command::Command;
pub use command::command;
pub use run::run;
