//! The availability budget: how many members of a pool may be out, and which one more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::decision::Refusal;
use crate::key;
use crate::pool::Pool;
use crate::world::World;

/// How careful a planned stop has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Margin {
    /// The promise must hold afterwards.
    MinReady,
    /// The promise must hold afterwards, and still hold once the next rack has failed.
    ///
    /// Where a pool is so small, or stands in so few racks, that even one planned stop can't leave
    /// that much, its members are stopped one at a time with nobody else missing.
    RackFailure,
}

/// Why a stop would spend more than there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Fewer would be ready than is promised.
    Ready {
        /// How many would be ready.
        ready: u32,
    },
    /// The next failure of a rack would leave fewer ready than is promised.
    Rack {
        /// How many would be ready before that failure.
        ready: u32,
        /// How many of them stand in the fullest rack.
        rack: u32,
    },
}

/// What a pool promises and which of its members are ready, by rack.
///
/// A budget is a scratch copy: [`Self::take`] and [`Self::give`] try things out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    size: u32,
    min_ready: u32,
    ready: u32,
    racks: BTreeMap<key::Rack, u32>,
    /// The same racks, the emptiest first.
    order: BTreeSet<(u32, key::Rack)>,
}

impl Budget {
    /// The budget of a pool with these ready members by rack.
    pub fn new(size: u32, min_ready: u32, racks: BTreeMap<key::Rack, u32>) -> Self {
        let ready = racks.values().sum();
        let order = racks.iter().map(|(&rack, &count)| (count, rack)).collect();
        Self { size, min_ready, ready, racks, order }
    }

    /// The budget of a pool as it stands.
    pub fn for_pool(world: &World, pool: key::Pool) -> Option<Self> {
        let spec = &world.pools.get(pool)?.spec;
        let mut racks = BTreeMap::new();
        for (_, instance) in world.ready(pool) {
            *racks.entry(instance.rack).or_insert(0) += 1;
        }
        Some(Self::new(spec.size, spec.min_ready, racks))
    }

    /// How many members are ready.
    pub const fn ready(&self) -> u32 {
        self.ready
    }

    /// How many must be.
    pub const fn min_ready(&self) -> u32 {
        self.min_ready
    }

    /// Ready members in the fullest rack.
    pub fn largest_rack(&self) -> u32 {
        self.order.last().map_or(0, |&(count, _)| count)
    }

    /// Ready members in this rack.
    pub fn in_rack(&self, rack: key::Rack) -> u32 {
        self.racks.get(&rack).copied().unwrap_or(0)
    }

    /// Whether the promise holds, and would after the failure of any one rack.
    pub fn survives_rack_failure(&self) -> bool {
        self.ready >= self.min_ready + self.largest_rack()
    }

    /// Whether one more ready member, standing in `rack`, may be stopped.
    pub fn check(&self, rack: key::Rack, care: Margin) -> Result<(), Shortage> {
        let taken = self.in_rack(rack).min(1);
        self.check_counts(self.ready - taken, self.fullest_without(rack), care)
    }

    /// Whether what is ready is enough to have stopped somebody.
    pub fn check_current(&self, care: Margin) -> Result<(), Shortage> {
        self.check_counts(self.ready, self.largest_rack(), care)
    }

    fn check_counts(&self, ready: u32, fullest: u32, care: Margin) -> Result<(), Shortage> {
        if ready < self.min_ready {
            return Err(Shortage::Ready { ready });
        }
        let survives = ready >= self.min_ready + fullest;
        if care == Margin::MinReady || survives || ready + 1 >= self.size {
            return Ok(());
        }
        Err(Shortage::Rack { ready, rack: fullest })
    }

    /// Ready members in the fullest rack, were there one less in `rack`.
    fn fullest_without(&self, rack: key::Rack) -> u32 {
        let fullest = self.largest_rack();
        let second = self.order.iter().nth_back(1).map_or(0, |&(count, _)| count);
        let only = self.in_rack(rack) == fullest && second < fullest;
        if only { fullest.saturating_sub(1) } else { fullest }
    }

    /// Counts one ready member in `rack` less.
    pub fn remove(&mut self, rack: key::Rack) {
        let count = self.in_rack(rack);
        if count > 0 {
            self.ready -= 1;
            self.set(rack, count - 1);
        }
    }

    /// Counts one ready member in `rack` more.
    pub fn add(&mut self, rack: key::Rack) {
        self.ready += 1;
        self.set(rack, self.in_rack(rack) + 1);
    }

    fn set(&mut self, rack: key::Rack, count: u32) {
        self.order.remove(&(self.in_rack(rack), rack));
        if count == 0 {
            self.racks.remove(&rack);
            return;
        }
        self.racks.insert(rack, count);
        self.order.insert((count, rack));
    }

    /// How many members may be out at once, the fullest racks first, from how it stands now.
    pub fn max_unavailable(&self) -> u32 {
        let mut left = self.clone();
        let mut out = 0;
        while let Some(&(_, rack)) = left.order.last() {
            if left.check(rack, Margin::RackFailure).is_err() {
                break;
            }
            left.remove(rack);
            out += 1;
        }
        out
    }

    /// The refusal that a shortage makes for `pool`.
    pub fn refusal(pool: &Pool, shortage: Shortage) -> Refusal {
        let name = pool.name.clone();
        let min_ready = pool.spec.min_ready;
        match shortage {
            Shortage::Ready { ready } => Refusal::Budget(name, ready, min_ready),
            Shortage::Rack { ready, rack } => Refusal::Rack(name, ready, rack, min_ready),
        }
    }
}
