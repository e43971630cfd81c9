//! Resources that a team uses, by priority.

use crate::config::Priority;
use crate::config::Size;
use crate::job::Total;

/// Number of priorities.
const PRIORITIES: usize = 3;

/// Resources booked for a team's attempts, by their priority.
///
/// More urgent work counts against the quota first: an attempt is borrowing if the team's work of at
/// least the same priority exceeds the quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    booked: [Total; PRIORITIES],
}

impl Usage {
    /// Resources booked for work that is at least as urgent as `priority`.
    pub fn up_to(&self, priority: Priority) -> Total {
        let counted = self.booked.iter().take(position(priority) + 1);
        counted.fold(Total::default(), |sum, booked| sum.plus(*booked))
    }

    /// Resources booked in total.
    pub fn total(&self) -> Total {
        self.up_to(Priority::Batch)
    }

    /// Adds the booking of an attempt.
    pub fn add(&mut self, priority: Priority, size: Size) {
        self.booked[position(priority)].add(size);
    }

    /// Subtracts the booking of an attempt.
    pub fn remove(&mut self, priority: Priority, size: Size) {
        self.booked[position(priority)].remove(size);
    }

    /// The sum of both usages for each priority.
    pub fn plus(mut self, other: &Self) -> Self {
        for (sum, booked) in self.booked.iter_mut().zip(&other.booked) {
            *sum = sum.plus(*booked);
        }
        self
    }

    /// The difference for each priority in each dimension, at least zero.
    pub fn minus(mut self, other: &Self) -> Self {
        for (left, booked) in self.booked.iter_mut().zip(&other.booked) {
            *left = left.minus(*booked);
        }
        self
    }

    /// Whether no resources are booked.
    pub fn is_zero(&self) -> bool {
        self.booked.iter().all(|booked| *booked == Total::default())
    }
}

const fn position(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}
