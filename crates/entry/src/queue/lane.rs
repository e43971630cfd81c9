//! The requests of one team at one priority, earliest deadline first.

use std::collections::BTreeMap;

use fleet::config::Priority;
use fleet::time::Time;

use super::Ticket;

/// One turn at weight 1; more weight makes turns come sooner.
const STRIDE: u64 = 1 << 20;

/// The requests of one team at one priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    /// When its next turn comes, in virtual time.
    pub(crate) virtual_time: u64,
    weight: u64,
    waiting: BTreeMap<(Time, Ticket), ()>,
}

/// How many turns a priority gets for one of batch work.
pub(crate) const fn weight(priority: Priority) -> u64 {
    match priority {
        Priority::Urgent => 16,
        Priority::Normal => 4,
        Priority::Batch => 1,
    }
}

impl Lane {
    pub(crate) fn set_weight(&mut self, priority: Priority, share: u32) {
        self.weight = weight(priority) * u64::from(share.max(1));
    }

    pub(crate) fn weight(&self) -> u64 {
        self.weight
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn insert(&mut self, deadline: Time, ticket: Ticket) {
        self.waiting.insert((deadline, ticket), ());
    }

    pub(crate) fn remove(&mut self, deadline: Time, ticket: Ticket) -> bool {
        self.waiting.remove(&(deadline, ticket)).is_some()
    }

    /// How many go before one with this deadline.
    pub(crate) fn ahead_of(&self, deadline: Time) -> usize {
        self.waiting.range(..(deadline, Ticket(u64::MAX))).count()
    }

    /// Takes the first and lets the next turn come by weight.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let ((_, ticket), ()) = self.waiting.pop_first()?;
        self.virtual_time += STRIDE / self.weight.max(1);
        Some(ticket)
    }

    /// Takes the one that would be served last.
    pub(crate) fn pop_last(&mut self) -> Option<Ticket> {
        self.waiting.pop_last().map(|((_, ticket), ())| ticket)
    }

    /// Takes one whose deadline is `before` or earlier.
    pub(crate) fn pop_due(&mut self, before: Time) -> Option<Ticket> {
        let (&(deadline, ticket), ()) = self.waiting.first_key_value()?;
        (deadline <= before && self.remove(deadline, ticket)).then_some(ticket)
    }
}
