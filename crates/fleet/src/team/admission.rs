//! Whether a team may start one more job, by its quota or by borrowing.

use derive_more::Display;

use super::Usage;
use crate::config;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Total;

/// How a team may start a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Within its quota. More urgent work of the team counts against the quota first.
    #[display("quota")]
    Quota,
    /// Beyond its quota, with capacity that other teams leave unused.
    #[display("borrowed")]
    Borrowed,
}

impl Admission {
    /// How a team that uses `used` may start a job; `None` if it may not.
    ///
    /// A team that does not borrow never uses more than its quota in total: its urgent work may have
    /// to wait for its less urgent work, see [`Admission::is_blocked_by_own_work`].
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

    /// Whether a team that does not borrow may not start a job only because of its own less urgent
    /// work.
    pub fn is_blocked_by_own_work(
        spec: &config::Team,
        used: &Usage,
        (need, priority): (Size, Priority),
    ) -> bool {
        let within = used.up_to(priority).plus(need.into()).fits_in(spec.quota.into());
        within && Self::of(spec, used, (need, priority)).is_none()
    }

    /// Whether the team's work of at least this priority uses more than its quota.
    pub fn exceeds_quota(spec: &config::Team, used: &Usage, priority: Priority) -> bool {
        !used.up_to(priority).fits_in(spec.quota.into())
    }
}
