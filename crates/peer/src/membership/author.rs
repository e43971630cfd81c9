//! This entry's own summary: what was published last, and what the peers are told of it by now.

use std::collections::BTreeMap;

use fleet::time::Time;
use fleet::view::Load;

use crate::Summary;

use super::ledger::Ledger;
use super::ledger::Slot;
use super::ledger::from_route;
use super::timing::Timing;

/// Bytes of names beyond which a summary is not told: its parts would be too many.
const NAMES_BYTES: usize = 40 << 10;
/// Slots that say nothing, beyond which the rest are numbered anew.
const EMPTY_SLOTS: usize = 256;

/// This entry's own summary.
#[derive(Clone, Debug, Default)]
pub(crate) struct Author {
    pub(crate) ledger: Ledger,
    /// Slots by name.
    numbers: BTreeMap<String, u32>,
    published: Summary,
    told: Summary,
    load_told: Time,
}

impl Author {
    pub(crate) fn publish(&mut self, summary: Summary) {
        self.published = summary;
    }

    /// Whether peers wait for what was published: it says more than a new load.
    pub(crate) fn is_urgent(&self) -> bool {
        let (new, old) = (&self.published, &self.told);
        new.revision != old.revision
            || new.drains != old.drains
            || new.ready != old.ready
            || new.platform != old.platform
            || drained(new) != drained(old)
    }

    /// Takes what was published into the ledger, the load only now and then. Returns whether there
    /// is news.
    pub(crate) fn fold(&mut self, now: Time, timing: &Timing) -> bool {
        if self.published == self.told {
            return false;
        }
        let load_is_due = now.since(self.load_told) >= timing.load;
        if !self.is_urgent() && !load_is_due {
            return false;
        }
        if name_bytes(&self.published) > NAMES_BYTES {
            tracing::warn!(event = "summary-too-large", bytes = name_bytes(&self.published));
            return false;
        }
        self.told = self.published.clone();
        self.load_told = now;
        self.write();
        true
    }

    fn write(&mut self) {
        let told = std::mem::take(&mut self.told);
        self.ledger.version += 1;
        self.ledger.revision = told.revision;
        self.ledger.ready = told.ready;
        self.ledger.platform = told.platform;
        self.ledger.serial = told.load.serial;
        self.write_drains(&told.drains);
        self.write_load(&told.load);
        self.told = told;
        self.compact();
    }

    fn write_drains(&mut self, drains: &BTreeMap<String, u64>) {
        let version = self.ledger.version;
        for slot in self.ledger.slots.values_mut().filter(|slot| slot.drain.value > 0) {
            if !drains.contains_key(&slot.name) {
                slot.drain.set(0, version);
            }
        }
        for (name, epoch) in drains {
            self.slot(name).drain.set(*epoch, version);
        }
    }

    fn write_load(&mut self, load: &Load) {
        let version = self.ledger.version;
        let demand: BTreeMap<String, u32> =
            load.demand.iter().map(|(route, count)| (from_route(route), *count)).collect();
        for slot in self.ledger.slots.values_mut() {
            if slot.flight.value > 0 && !load.in_flight.contains_key(&slot.name) {
                slot.flight.set(0, version);
            }
            if slot.demand.value > 0 && !demand.contains_key(&slot.name) {
                slot.demand.set(0, version);
            }
        }
        for (name, count) in &load.in_flight {
            self.slot(name).flight.set(*count, version);
        }
        for (name, count) in &demand {
            self.slot(name).demand.set(*count, version);
        }
    }

    /// The slot of a name that says something from now on. One that said nothing counts as new:
    /// whoever was told the whole meanwhile was not told its name.
    fn slot(&mut self, name: &str) -> &mut Slot {
        let number = match self.numbers.get(name) {
            Some(number) => *number,
            None => self.add(name),
        };
        let version = self.ledger.version;
        let slot = self.ledger.slots.entry(number).or_default();
        if slot.is_empty() {
            slot.born = version;
        }
        slot
    }

    fn add(&mut self, name: &str) -> u32 {
        let number = u32::try_from(self.numbers.len()).unwrap_or(u32::MAX);
        let born = self.ledger.version;
        self.numbers.insert(name.to_owned(), number);
        let slot = Slot { name: name.to_owned(), born, ..Slot::default() };
        self.ledger.slots.insert(number, slot);
        number
    }

    /// Numbers the slots anew once many say nothing; peers are then told the whole.
    fn compact(&mut self) {
        let empty = self.ledger.slots.values().filter(|slot| slot.is_empty()).count();
        if empty <= EMPTY_SLOTS {
            return;
        }
        let version = self.ledger.version;
        self.ledger.floor = version;
        let slots = std::mem::take(&mut self.ledger.slots);
        let kept = slots.into_values().filter(|slot| !slot.is_empty());
        self.ledger.slots = (0..).zip(kept).collect();
        for slot in self.ledger.slots.values_mut() {
            slot.born = version;
            slot.drain.version = version;
            slot.flight.version = version;
            slot.demand.version = version;
        }
        let named = self.ledger.slots.iter().map(|(number, slot)| (slot.name.clone(), *number));
        self.numbers = named.collect();
    }
}

/// Instances that leave and have nothing in flight any more.
fn drained(summary: &Summary) -> Vec<&String> {
    let drains = summary.drains.keys();
    drains.filter(|name| !summary.load.in_flight.contains_key(*name)).collect()
}

fn name_bytes(summary: &Summary) -> usize {
    let drains = summary.drains.keys().map(String::len);
    let flights = summary.load.in_flight.keys().map(String::len);
    let demand = summary.load.demand.keys();
    let demand = demand.map(|route| route.organisation.len() + route.service.len() + 1);
    drains.chain(flights).chain(demand).map(|bytes| bytes + 16).sum()
}
