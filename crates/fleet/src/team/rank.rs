//! Whose job comes first.

use super::Admission;
use super::Usage;
use crate::config;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Total;
use crate::time::Time;

/// The place of a team's next job in the order of placement; the least comes first.
///
/// Claims by quota come before borrowing, whatever the priority: a quota is a promise, and no
/// borrower's urgency may break it. Within that, large jobs that were passed over for long come
/// first, then urgent work, then the team that has least of what it is due, then the job that was
/// submitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// By what right.
    pub admission: Admission,
    /// Whether it is not a large job that was passed over for long.
    pub not_starved: bool,
    /// How urgent.
    pub priority: Priority,
    /// How much of its due the team has, in millionths.
    pub dominant_share: u64,
    /// When the job was submitted.
    pub submitted: Time,
}

impl Rank {
    /// The turn of a job; `None` where its team may not start it.
    ///
    /// `whole` is all that the organisation has.
    pub fn of(
        spec: &config::Team,
        used: &Usage,
        whole: Total,
        (need, priority, submitted): (Size, Priority, Time),
    ) -> Option<Self> {
        let claim = Admission::of(spec, used, (need, priority))?;
        let level = match claim {
            Admission::Quota => used.up_to(priority).dominant_share(spec.quota.into()),
            Admission::Borrowed => borrowed_level(spec, used.total(), whole),
        };
        Some(Self {
            admission: claim,
            not_starved: true,
            priority,
            dominant_share: level,
            submitted,
        })
    }

    /// The turn of a large job that was passed over for long: by age, whatever its team has.
    pub fn starved(self) -> Self {
        Self { not_starved: false, dominant_share: 0, ..self }
    }
}

/// The dominant share of what a team borrowed, by its weight.
///
/// A team without a share counts as having a thousandth of one, and so comes last.
fn borrowed_level(spec: &config::Team, used: Total, whole: Total) -> u64 {
    let share = u64::from(spec.share) * 1_000;
    let borrowed = used.minus(spec.quota.into());
    borrowed.dominant_share(whole).saturating_mul(1_000) / share.max(1)
}
