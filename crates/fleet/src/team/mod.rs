//! Teams: quotas, fair shares and borrowing.
//!
//! * [`Admission`]: whether a team may start one more job, by its quota or by borrowing.
//! * [`Rank`]: the order in which jobs are placed.
//! * [`Usage`]: what a team uses, by priority.

mod admission;
mod rank;
mod usage;

pub use admission::Admission;
pub use rank::Rank;
pub use usage::Usage;

use crate::config;
use crate::key;

/// A team and its specification.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Its name, within its organisation.
    pub name: String,
    /// Its organisation.
    pub organisation: key::Organisation,
    /// Its quota, share and whether it may borrow.
    pub spec: config::Team,
}
