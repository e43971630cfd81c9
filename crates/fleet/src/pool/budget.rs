//! The availability budget: how many members of a pool may be out of service at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::decision::Refusal;
use crate::key;
use crate::pool::Pool;
use crate::world::World;

/// The safety margin that a pool must keep after a planned stop of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Margin {
    /// At least `min_ready` members must remain ready.
    MinReady,
    /// At least `min_ready` members must remain ready, even after the failure of any one rack.
    ///
    /// A pool can be so small, or in so few racks, that no planned stop can leave this margin. Its
    /// members are then stopped one at a time, while all others are ready.
    RackFailure,
}

/// Why a stop would exceed the availability budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Fewer than `min_ready` members would be ready.
    Ready {
        /// Number of members that would be ready.
        ready: u32,
    },
    /// The failure of the largest rack would then leave fewer than `min_ready` members ready.
    Rack {
        /// Number of members that would be ready before that failure.
        ready: u32,
        /// Number of them in the rack with the most ready members.
        rack: u32,
    },
}

/// The availability budget of a pool: its `min_ready` and its ready members by rack.
///
/// A budget is a copy of the pool's state. [`Self::remove`] and [`Self::add`] simulate changes and
/// don't affect the pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    size: u32,
    min_ready: u32,
    ready: u32,
    racks: BTreeMap<key::Rack, u32>,
    /// The entries of `racks`, ordered by number of ready members.
    by_count: BTreeSet<(u32, key::Rack)>,
}

impl Budget {
    /// Creates the budget of a pool with the configured size `size` and this number of ready members
    /// by rack.
    pub fn new(size: u32, min_ready: u32, racks: BTreeMap<key::Rack, u32>) -> Self {
        let ready = racks.values().sum();
        let by_count = racks.iter().map(|(&rack, &count)| (count, rack)).collect();
        Self { size, min_ready, ready, racks, by_count }
    }

    /// Creates the budget of a pool from its current members, or `None` if the pool is unknown.
    pub fn for_pool(world: &World, pool: key::Pool) -> Option<Self> {
        let spec = &world.pools.get(pool)?.spec;
        let mut racks = BTreeMap::new();
        for (_, instance) in world.ready(pool) {
            *racks.entry(instance.rack).or_insert(0) += 1;
        }
        Some(Self::new(spec.size, spec.min_ready, racks))
    }

    /// Number of ready members.
    pub const fn ready(&self) -> u32 {
        self.ready
    }

    /// Number of members that must be ready.
    pub const fn min_ready(&self) -> u32 {
        self.min_ready
    }

    /// Number of ready members in the rack with the most of them.
    pub fn largest_rack(&self) -> u32 {
        self.by_count.last().map_or(0, |&(count, _)| count)
    }

    /// Number of ready members in this rack.
    pub fn in_rack(&self, rack: key::Rack) -> u32 {
        self.racks.get(&rack).copied().unwrap_or(0)
    }

    /// Whether at least `min_ready` members would be ready after the failure of any one rack.
    pub fn survives_rack_failure(&self) -> bool {
        self.ready >= self.min_ready + self.largest_rack()
    }

    /// Checks whether one more ready member, located in `rack`, may be stopped.
    pub fn check(&self, rack: key::Rack, margin: Margin) -> Result<(), Shortage> {
        let removed = self.in_rack(rack).min(1);
        self.check_counts(self.ready - removed, self.largest_rack_without(rack), margin)
    }

    /// Checks whether the current number of ready members leaves this margin. This is for the stop of
    /// a member that isn't counted as ready.
    pub fn check_current(&self, margin: Margin) -> Result<(), Shortage> {
        self.check_counts(self.ready, self.largest_rack(), margin)
    }

    /// Checks whether `ready` members, `largest_rack` of them in one rack, leave the margin. A pool
    /// that can't leave [`Margin::RackFailure`] only has to leave `min_ready`, as long as at most one
    /// of its `size` members isn't ready.
    fn check_counts(&self, ready: u32, largest_rack: u32, margin: Margin) -> Result<(), Shortage> {
        if ready < self.min_ready {
            return Err(Shortage::Ready { ready });
        }
        let survives = ready >= self.min_ready + largest_rack;
        if margin == Margin::MinReady || survives || ready + 1 >= self.size {
            return Ok(());
        }
        Err(Shortage::Rack { ready, rack: largest_rack })
    }

    /// [`Self::largest_rack`] if there were one ready member less in `rack`.
    fn largest_rack_without(&self, rack: key::Rack) -> u32 {
        let largest = self.largest_rack();
        let second = self.by_count.iter().nth_back(1).map_or(0, |&(count, _)| count);
        let is_only_largest = self.in_rack(rack) == largest && second < largest;
        if is_only_largest { largest.saturating_sub(1) } else { largest }
    }

    /// Removes one ready member from `rack`, if there is one.
    pub fn remove(&mut self, rack: key::Rack) {
        let count = self.in_rack(rack);
        if count > 0 {
            self.ready -= 1;
            self.set(rack, count - 1);
        }
    }

    /// Adds one ready member to `rack`.
    pub fn add(&mut self, rack: key::Rack) {
        self.ready += 1;
        self.set(rack, self.in_rack(rack) + 1);
    }

    fn set(&mut self, rack: key::Rack, count: u32) {
        self.by_count.remove(&(self.in_rack(rack), rack));
        if count == 0 {
            self.racks.remove(&rack);
            return;
        }
        self.racks.insert(rack, count);
        self.by_count.insert((count, rack));
    }

    /// Number of ready members that may be stopped at the same time under [`Margin::RackFailure`],
    /// each taken from the rack that then has the most ready members.
    pub fn max_unavailable(&self) -> u32 {
        let mut remaining = self.clone();
        let mut stopped = 0;
        while let Some(&(_, rack)) = remaining.by_count.last() {
            if remaining.check(rack, Margin::RackFailure).is_err() {
                break;
            }
            remaining.remove(rack);
            stopped += 1;
        }
        stopped
    }

    /// Converts a shortage of `pool` to a refusal.
    pub fn refusal(pool: &Pool, shortage: Shortage) -> Refusal {
        let name = pool.name.clone();
        let min_ready = pool.spec.min_ready;
        match shortage {
            Shortage::Ready { ready } => Refusal::Budget(name, ready, min_ready),
            Shortage::Rack { ready, rack } => Refusal::Rack(name, ready, rack, min_ready),
        }
    }
}
