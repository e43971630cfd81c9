//! By what right a team may start one more job.

use derive_more::Display;

use super::Usage;
use crate::config;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Total;

/// By what right a team may start a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Within its quota, which its more urgent work has first.
    #[display("quota")]
    Quota,
    /// Beyond its quota, from what others leave unused.
    #[display("borrowed")]
    Borrowed,
}

impl Admission {
    /// By what right a team that uses `used` may start a job; `None` where it may not.
    ///
    /// A team that does not borrow never uses more than its quota in all: its urgent work has to
    /// wait for its own other work, see [`Claim::displaces_own`].
    pub fn of(
        spec: &config::Team,
        used: &Usage,
        (need, priority): (Size, Priority),
    ) -> Option<Self> {
        let quota = Total::from(spec.quota);
        let with = |used: Total| used.plus(need.into());
        let within = with(used.up_to(priority)).fits_in(quota);
        match (within, spec.borrows) {
            (true, true) => Some(Self::Quota),
            (true, false) => with(used.total()).fits_in(quota).then_some(Self::Quota),
            (false, true) => Some(Self::Borrowed),
            (false, false) => None,
        }
    }

    /// Whether only less urgent work of its own keeps a team that does not borrow from starting a
    /// job.
    pub fn is_blocked_by_own_work(
        spec: &config::Team,
        used: &Usage,
        (need, priority): (Size, Priority),
    ) -> bool {
        let within = used.up_to(priority).plus(need.into()).fits_in(spec.quota.into());
        within && Self::of(spec, used, (need, priority)).is_none()
    }

    /// Whether work of this priority uses more than the team's quota.
    pub fn exceeds_quota(spec: &config::Team, used: &Usage, priority: Priority) -> bool {
        !used.up_to(priority).fits_in(spec.quota.into())
    }
}
