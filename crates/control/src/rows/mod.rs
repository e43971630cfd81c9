//! The rows that entries share, and what this process knows of them.
//!
//! * [`Scoped`]: all of them lie under one prefix, so that one feed of changes has them and nothing
//!   else.
//! * [`Versions`]: which version of each row this process has taken in.

mod scoped;
mod versions;

pub use scoped::Scoped;
pub use versions::Versions;
