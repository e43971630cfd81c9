//! The order in which queued jobs are placed.

use super::Admission;
use super::Usage;
use crate::config;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Total;
use crate::time::Time;

/// The rank of a team's next job; the job with the smallest rank is placed first.
///
/// Jobs within a quota come before borrowing ones whatever their priority, since a quota is
/// guaranteed against urgent work of borrowers. Then come large jobs that have waited long, then
/// more urgent jobs, then jobs of the team with the smallest dominant share, then jobs that were
/// submitted earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the job runs within the quota or borrows.
    pub admission: Admission,
    /// `false` for a large job that has waited long, so that it ranks first.
    pub not_starved: bool,
    /// Priority of the job.
    pub priority: Priority,
    /// Dominant share of the team in millionths: of its quota, or, if it borrows, of the
    /// organisation's capacity divided by the team's weight, [`config::Team::share`].
    pub dominant_share: u64,
    /// When the job was submitted.
    pub submitted: Time,
}

impl Rank {
    /// The rank of a job; `None` if its team may not start it.
    ///
    /// `capacity` is the total capacity of the organisation.
    pub fn of(
        spec: &config::Team,
        used: &Usage,
        capacity: Total,
        (need, priority, submitted): (Size, Priority, Time),
    ) -> Option<Self> {
        let admission = Admission::of(spec, used, (need, priority))?;
        let dominant_share = match admission {
            Admission::Quota => used.up_to(priority).dominant_share(spec.quota.into()),
            Admission::Borrowed => borrowed_share(spec, used.total(), capacity),
        };
        Some(Self { admission, not_starved: true, priority, dominant_share, submitted })
    }

    /// The rank of a large job that has waited long: by age, without regard to its team's share.
    pub fn starved(self) -> Self {
        Self { not_starved: false, dominant_share: 0, ..self }
    }
}

/// The dominant share of the capacity that a team borrows, divided by its weight.
///
/// A weight of zero is taken as 0.001, so that the team ranks last.
fn borrowed_share(spec: &config::Team, used: Total, capacity: Total) -> u64 {
    let weight = u64::from(spec.share) * 1_000;
    let borrowed = used.minus(spec.quota.into());
    borrowed.dominant_share(capacity).saturating_mul(1_000) / weight.max(1)
}
