//! The drains that this entry acknowledges.

use std::collections::BTreeMap;

use fleet::view::Load;

use crate::member::Ack;

/// An uninterrupted period in which an instance is closed to new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Exclusion {
    /// Serial of the first view that excludes the instance.
    serial: u64,
    /// The instance's epoch in the latest view.
    epoch: u64,
}

/// The instances that this entry's views exclude from new requests.
///
/// Every view must be [recorded](Self::record_view) here before it is passed to the request path.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Exclusions {
    excluded: BTreeMap<String, Exclusion>,
}

impl Exclusions {
    /// Records the instances that the view `serial` excludes: epochs by instance name.
    pub fn record_view(&mut self, serial: u64, excluded: &BTreeMap<String, u64>) {
        self.excluded.retain(|name, _| excluded.contains_key(name));
        for (name, &epoch) in excluded {
            let exclusion =
                self.excluded.entry(name.clone()).or_insert(Exclusion { serial, epoch });
            exclusion.epoch = epoch.max(exclusion.epoch);
        }
    }

    /// The drains that may be acknowledged: those in views that the request path already uses,
    /// according to the `load` that it reports.
    pub fn acknowledge(&self, load: &Load) -> BTreeMap<String, Ack> {
        let in_use = self.excluded.iter().filter(|(_, exclusion)| exclusion.serial <= load.serial);
        let ack = |(name, exclusion): (&String, &Exclusion)| {
            let in_flight = load.in_flight.get(name).copied().unwrap_or(0);
            (name.clone(), Ack { epoch: exclusion.epoch, in_flight })
        };
        in_use.map(ack).collect()
    }
}
