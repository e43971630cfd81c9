//! The requests of one team at one priority, earliest deadline first.

use std::collections::BTreeMap;

use fleet::config::Priority;
use fleet::time::Time;

use super::Ticket;

/// Virtual time that one departure costs a lane of weight 1. The cost is divided by the weight.
const STRIDE: u64 = 1 << 20;

/// The queued requests of one team at one priority, scheduled by stride scheduling.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    /// Virtual time of its next departure; the lane with the least goes first.
    pub(crate) virtual_time: u64,
    weight: u64,
    /// Queued requests by deadline, then by order of arrival.
    waiting: BTreeMap<(Time, Ticket), ()>,
}

/// Departures that a priority gets for each one of [`Priority::Batch`].
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

    /// How many requests go before one with this deadline.
    pub(crate) fn ahead_of(&self, deadline: Time) -> usize {
        self.waiting.range(..(deadline, Ticket(u64::MAX))).count()
    }

    /// Removes the first request and advances the virtual time.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let ((_, ticket), ()) = self.waiting.pop_first()?;
        self.virtual_time += STRIDE / self.weight.max(1);
        Some(ticket)
    }

    /// Removes the request that would be served last.
    pub(crate) fn pop_last(&mut self) -> Option<Ticket> {
        self.waiting.pop_last().map(|((_, ticket), ())| ticket)
    }

    /// Removes a request whose deadline is `by` or earlier.
    pub(crate) fn pop_due(&mut self, by: Time) -> Option<Ticket> {
        let (&(deadline, ticket), ()) = self.waiting.first_key_value()?;
        (deadline <= by && self.remove(deadline, ticket)).then_some(ticket)
    }
}
