//! Teams: quotas, fair shares and borrowing.
//!
//! * [`Claim`]: whether a team may start one more job, by its quota or by borrowing.
//! * [`Turn`]: whose job comes first.
//! * [`Usage`]: what a team uses, by priority.

mod admission;
mod rank;
mod usage;

pub use admission::Admission;
pub use rank::Rank;
pub use usage::Usage;

use crate::config;
use crate::key;

/// A team and what it uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Its name, within its organisation.
    pub name: String,
    /// Whose it is.
    pub organisation: key::Organisation,
    /// What it may use.
    pub spec: config::Team,
}
