//! The table rows that entries share.
//!
//! * [`Scoped`]: a view of the table under the common prefix of these rows, so that the
//!   changes read through it are changes of these rows only.
//! * [`Versions`]: the versions of the rows that this process has applied.

mod scoped;
mod versions;

pub use scoped::Scoped;
pub use versions::Versions;
