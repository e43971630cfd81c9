//! What was found out and stands in no row: it is each entry's own, and lost with it.

use std::collections::BTreeMap;

use crate::fact::Fact;
use crate::key;
use crate::time::Time;

/// What was found out and stands in no row.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Requests queued or in flight for each pool, over all entries.
    pub demand: BTreeMap<key::Pool, u32>,
    /// Since when each pool's demand is beyond its own slots.
    pub over_since: BTreeMap<key::Pool, Time>,
    /// Which entries hold up the drain of an instance.
    pub drain_blockers: BTreeMap<key::Instance, Vec<String>>,
    /// The boot of each instance's worker, as last reported. Those that fell silent have none, and
    /// get no attempts.
    pub boots: BTreeMap<key::Instance, u64>,
    /// Since when an instance answers without a break.
    pub healthy_since: BTreeMap<key::Instance, Time>,
}

impl Observations {
    /// Takes note of a fact.
    pub fn record(&mut self, fact: &Fact, now: Time) {
        match fact {
            Fact::Healthy(instance) | Fact::Restarted(instance) => {
                self.healthy_since.entry(*instance).or_insert(now);
            }
            Fact::Unresponsive(instance) => {
                self.healthy_since.remove(instance);
                self.boots.remove(instance);
            }
            Fact::Unlisted(instance) => self.forget(*instance),
            Fact::Quiesced(instance) => {
                self.drain_blockers.remove(instance);
            }
            Fact::Unacknowledged { instance, by } => {
                self.drain_blockers.insert(*instance, by.clone());
            }
            Fact::Demand(demand) => self.demand.clone_from(demand),
            Fact::Report(report) => {
                self.boots.insert(report.instance, report.boot);
            }
            Fact::Listed { .. } | Fact::Refused { .. } => {}
        }
    }

    /// Drops what is known of an instance.
    pub fn forget(&mut self, instance: key::Instance) {
        self.healthy_since.remove(&instance);
        self.drain_blockers.remove(&instance);
        self.boots.remove(&instance);
    }
}
