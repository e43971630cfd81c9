//! What the fleet has, as far as a check of a configuration needs to know.

use std::collections::BTreeMap;

use crate::config::Size;

/// One instance of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// Name of the organisation that has it.
    pub organisation: String,
    /// Name of the pool that has it.
    pub pool: String,
    /// Name of its rack.
    pub rack: String,
    /// What it can hold.
    pub capacity: Size,
}

/// The instances of the fleet. An empty one knows nothing, and nothing is checked against it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// All instances that are not gone.
    pub items: Vec<Item>,
}

impl Inventory {
    /// All of an organisation's instances.
    pub fn of_organisation(&self, organisation: &str) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(move |item| item.organisation == organisation)
    }

    /// Instances in a pool.
    pub fn of_pool(&self, organisation: &str, pool: &str) -> impl Iterator<Item = &Item> {
        self.of_organisation(organisation).filter(move |item| item.pool == pool)
    }

    /// How many of a pool's instances stand in the rack that has most of them.
    pub fn largest_rack(&self, organisation: &str, pool: &str) -> u32 {
        let mut racks = BTreeMap::new();
        for item in self.of_pool(organisation, pool) {
            *racks.entry(item.rack.as_str()).or_insert(0) += 1;
        }
        racks.into_values().max().unwrap_or(0)
    }

    /// What an organisation's instances hold together.
    pub fn total(&self, organisation: &str) -> Size {
        self.of_organisation(organisation).fold(Size::default(), |sum, item| sum + item.capacity)
    }
}
