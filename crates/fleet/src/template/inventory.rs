//! The instances of the fleet, as needed to check a configuration.

use std::collections::BTreeMap;

use crate::config::Size;

/// One instance of the fleet, as a member of its pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// Name of its organisation.
    pub organisation: String,
    /// Name of its pool.
    pub pool: String,
    /// Name of its rack.
    pub rack: String,
    /// Its total resources.
    pub capacity: Size,
}

/// The instances of the fleet. An empty inventory means that the instances are unknown; checks
/// against it are skipped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// All instances that haven't been removed.
    pub members: Vec<Member>,
}

impl Inventory {
    /// The instances of an organisation.
    pub fn of_organisation(&self, organisation: &str) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.organisation == organisation)
    }

    /// The instances of a pool.
    pub fn of_pool(&self, organisation: &str, pool: &str) -> impl Iterator<Item = &Member> {
        self.of_organisation(organisation).filter(move |member| member.pool == pool)
    }

    /// Number of a pool's instances in the rack that has the most of them.
    pub fn largest_rack(&self, organisation: &str, pool: &str) -> u32 {
        let mut racks = BTreeMap::new();
        for member in self.of_pool(organisation, pool) {
            *racks.entry(member.rack.as_str()).or_insert(0) += 1;
        }
        racks.into_values().max().unwrap_or(0)
    }

    /// Total resources of an organisation's instances.
    pub fn total(&self, organisation: &str) -> Size {
        self.of_organisation(organisation)
            .fold(Size::default(), |sum, member| sum + member.capacity)
    }
}
