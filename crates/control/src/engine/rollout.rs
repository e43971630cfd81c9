//! Rollout of a configuration revision: which entries have it in force.

use std::collections::BTreeMap;

use fleet::config::Revision;
use fleet::time::Time;
use peer::Status;

use super::State;
use crate::Settings;
use crate::configuration::EntryReport;
use crate::configuration::Rollout;

impl State {
    /// Which entries have `revision` in force, out of all that may still send requests, according
    /// to their member rows and to gossip.
    pub fn rollout(&self, settings: &Settings, revision: Revision, now: Time) -> Rollout {
        let senders = self.senders.names().map(|name| (name.to_owned(), EntryReport::default()));
        let mut reports: BTreeMap<String, EntryReport> = senders.collect();
        for (name, row) in self.watch.rows() {
            let reachable =
                row.candidate && !self.watch.is_dead(name, now) && self.watch.is_fresh(now);
            merge(&mut reports, name, EntryReport { revision: row.revision, reachable });
        }
        for member in &self.members {
            let reachable = member.status == Status::Alive;
            let report = EntryReport { revision: member.summary.revision, reachable };
            merge(&mut reports, &member.name, report);
        }
        reports.insert(
            settings.name.clone(),
            EntryReport { revision: self.revision(), reachable: true },
        );
        Rollout::new(revision, &reports)
    }
}

/// Merges `report` into the report about `name`: the highest revision, and reachable if either says
/// so. Entries that are not in `reports` are certainly gone and stay out.
fn merge(reports: &mut BTreeMap<String, EntryReport>, name: &str, report: EntryReport) {
    if let Some(merged) = reports.get_mut(name) {
        merged.revision = merged.revision.max(report.revision);
        merged.reachable |= report.reachable;
    }
}
