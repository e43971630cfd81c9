//! Whether a team may start one more job.

use derive_more::Display;

use crate::config;
use crate::config::Size;
use crate::job::Total;

/// By what right a team may start a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Claim {
    /// Within its quota.
    #[display("quota")]
    Quota,
    /// Beyond its quota, from what others leave unused.
    #[display("borrowed")]
    Borrowed,
}

impl Claim {
    /// By what right a team that uses `used` may start a job of `need`; `None` where it may not.
    pub fn of(spec: &config::Team, used: Total, need: Size) -> Option<Self> {
        if used.plus(need.into()).fits_in(spec.quota.into()) {
            return Some(Self::Quota);
        }
        spec.borrows.then_some(Self::Borrowed)
    }

    /// Whether a team uses more than its quota.
    pub fn is_over(spec: &config::Team, used: Total) -> bool {
        !used.fits_in(spec.quota.into())
    }
}
