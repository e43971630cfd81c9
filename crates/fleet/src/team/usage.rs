//! What a team uses, by priority.

use crate::config::Priority;
use crate::config::Size;
use crate::job::Total;

/// How many priorities there are.
const PRIORITIES: usize = 3;

/// What is booked for a team's attempts, by their priority.
///
/// A team's quota goes to its more urgent work first: work counts as borrowed where what is at least
/// as urgent takes up the quota already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    booked: [Total; PRIORITIES],
}

impl Usage {
    /// What is booked for work that is at least as urgent as `priority`.
    pub fn up_to(&self, priority: Priority) -> Total {
        let counted = self.booked.iter().take(place(priority) + 1);
        counted.fold(Total::default(), |sum, booked| sum.plus(*booked))
    }

    /// What is booked in all.
    pub fn total(&self) -> Total {
        self.up_to(Priority::Batch)
    }

    /// Counts an attempt in.
    pub fn add(&mut self, priority: Priority, size: Size) {
        self.booked[place(priority)].add(size);
    }

    /// Counts an attempt out again.
    pub fn remove(&mut self, priority: Priority, size: Size) {
        self.booked[place(priority)].remove(size);
    }

    /// The sum of both.
    pub fn plus(mut self, other: &Self) -> Self {
        for (sum, booked) in self.booked.iter_mut().zip(&other.booked) {
            *sum = sum.plus(*booked);
        }
        self
    }

    /// The difference, held at nought.
    pub fn minus(mut self, other: &Self) -> Self {
        for (left, booked) in self.booked.iter_mut().zip(&other.booked) {
            *left = left.minus(*booked);
        }
        self
    }

    /// Whether nothing is booked.
    pub fn is_zero(&self) -> bool {
        self.booked.iter().all(|booked| *booked == Total::default())
    }
}

const fn place(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}
