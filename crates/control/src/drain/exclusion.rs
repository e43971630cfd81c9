//! What this entry acknowledges.

use std::collections::BTreeMap;

use fleet::view::Load;

use crate::member::Ack;

/// Since which view an instance has been closed to new requests, without a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Closure {
    /// The first such view.
    serial: u64,
    /// The instance's epoch in the latest view.
    epoch: u64,
}

/// The instances that this entry's views close to new requests.
///
/// Every view that is handed to the request path must be [recorded](Self::record_view) here first.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Exclusions {
    closed: BTreeMap<String, Closure>,
}

impl Exclusions {
    /// Notes which instances the view `serial` closes, with their epochs.
    pub fn record_view(&mut self, serial: u64, closed: &BTreeMap<String, u64>) {
        self.closed.retain(|name, _| closed.contains_key(name));
        for (name, &epoch) in closed {
            let closure = self.closed.entry(name.clone()).or_insert(Closure { serial, epoch });
            closure.epoch = epoch.max(closure.epoch);
        }
    }

    /// What may be acknowledged, given what the request path reports.
    pub fn acknowledge(&self, load: &Load) -> BTreeMap<String, Ack> {
        let shown = self.closed.iter().filter(|(_, closure)| closure.serial <= load.serial);
        let ack = |(name, closure): (&String, &Closure)| {
            let in_flight = load.in_flight.get(name).copied().unwrap_or(0);
            (name.clone(), Ack { epoch: closure.epoch, in_flight })
        };
        shown.map(ack).collect()
    }
}
