//! Observations that are not stored: each entry has its own, and loses them when it restarts.

use std::collections::BTreeMap;

use crate::fact::Fact;
use crate::key;
use crate::time::Time;

/// Observations that are not stored in rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Requests queued or in flight for each pool, summed over all entries.
    pub demand: BTreeMap<key::Pool, u32>,
    /// Since when each pool's demand exceeds its own slots.
    pub over_since: BTreeMap<key::Pool, Time>,
    /// Names of the entries that delay the drain of an instance.
    pub drain_blockers: BTreeMap<key::Instance, Vec<String>>,
    /// Boot of each instance's worker, as last reported. Instances that became unresponsive have
    /// none, and no attempts are started on them.
    pub boots: BTreeMap<key::Instance, u64>,
    /// Since when an instance has answered its health checks without a gap.
    pub healthy_since: BTreeMap<key::Instance, Time>,
}

impl Observations {
    /// Records a fact that was observed at `now`.
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

    /// Removes the observations of an instance.
    pub fn forget(&mut self, instance: key::Instance) {
        self.healthy_since.remove(&instance);
        self.drain_blockers.remove(&instance);
        self.boots.remove(&instance);
    }
}
