//! A member's summary as numbered values with versions, so that only what changed is sent.

use std::collections::BTreeMap;

use fleet::config::Revision;
use fleet::view::Load;
use fleet::view::Route;
use wire::generated::Delta;
use wire::generated::Name;

use crate::Summary;

/// Between the two parts of a route's name.
const ROUTE_SEPARATOR: char = '/';

/// A value and the version that it changed in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cell<T> {
    pub(crate) value: T,
    pub(crate) version: u32,
}

impl<T: PartialEq> Cell<T> {
    /// Sets the value, if it is another one.
    pub(crate) fn set(&mut self, value: T, version: u32) {
        if self.value != value {
            *self = Self { value, version };
        }
    }
}

/// What is known under one name: an instance's or a route's.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Slot {
    pub(crate) name: String,
    /// The version in which the name came.
    pub(crate) born: u32,
    pub(crate) drain: Cell<u64>,
    pub(crate) flight: Cell<u32>,
    pub(crate) demand: Cell<u32>,
}

impl Slot {
    /// Whether it says nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.drain.value == 0 && self.flight.value == 0 && self.demand.value == 0
    }
}

/// A member's summary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ledger {
    pub(crate) version: u32,
    /// What changed before this version is only known as a whole.
    pub(crate) floor: u32,
    pub(crate) revision: Revision,
    pub(crate) ready: bool,
    pub(crate) platform: bool,
    pub(crate) serial: u64,
    pub(crate) slots: BTreeMap<u32, Slot>,
}

impl Ledger {
    /// What changed since `base`, in as many parts as datagrams are needed.
    pub(crate) fn delta(&self, id: u32, base: u32) -> Vec<Delta> {
        if base >= self.version {
            return Vec::new();
        }
        let base = if base < self.floor { 0 } else { base };
        let head = Delta {
            id,
            base,
            version: self.version,
            revision: self.revision.0,
            ready: self.ready,
            platform: self.platform,
            serial: self.serial,
            ..Delta::default()
        };
        let mut parts = Parts::new(head);
        for (number, slot) in &self.slots {
            if base == 0 && slot.is_empty() {
                continue;
            }
            parts.add(*number, slot, base);
        }
        parts.finish()
    }

    /// Takes in all parts of a delta. Returns whether it brought anything new.
    pub(crate) fn apply(&mut self, parts: &[Delta]) -> bool {
        let Some(head) = parts.first() else { return false };
        if head.version <= self.version || head.base > self.version {
            return false;
        }
        if head.base == 0 {
            self.slots.clear();
            self.floor = head.version;
        }
        self.version = head.version;
        self.revision = Revision(head.revision);
        self.ready = head.ready;
        self.platform = head.platform;
        self.serial = head.serial;
        for part in parts {
            self.apply_part(part);
        }
        true
    }

    /// A value counts as changed even if it is the same as before: whoever this is passed on to may
    /// have seen another one in between.
    fn apply_part(&mut self, part: &Delta) {
        let version = part.version;
        for Name { slot, name } in &part.names {
            let slot = self.slots.entry(*slot).or_default();
            slot.name.clone_from(name);
            slot.born = version;
        }
        for (slot, value) in part.drain_slots.iter().zip(&part.drain_epochs) {
            self.slots.entry(*slot).or_default().drain = Cell { value: *value, version };
        }
        for (slot, value) in part.flight_slots.iter().zip(&part.flight_counts) {
            self.slots.entry(*slot).or_default().flight = Cell { value: *value, version };
        }
        for (slot, value) in part.demand_slots.iter().zip(&part.demand_counts) {
            self.slots.entry(*slot).or_default().demand = Cell { value: *value, version };
        }
    }

    /// The summary for those above.
    pub(crate) fn summary(&self) -> Summary {
        let mut summary = Summary {
            revision: self.revision,
            ready: self.ready,
            platform: self.platform,
            load: Load { serial: self.serial, ..Load::default() },
            ..Summary::default()
        };
        for slot in self.slots.values() {
            if slot.drain.value > 0 {
                summary.drains.insert(slot.name.clone(), slot.drain.value);
            }
            if slot.flight.value > 0 {
                summary.load.in_flight.insert(slot.name.clone(), slot.flight.value);
            }
            if slot.demand.value > 0
                && let Some(route) = to_route(&slot.name)
            {
                summary.load.demand.insert(route, slot.demand.value);
            }
        }
        summary
    }
}

pub(crate) fn from_route(route: &Route) -> String {
    format!("{}{ROUTE_SEPARATOR}{}", route.organisation, route.service)
}

fn to_route(name: &str) -> Option<Route> {
    let (organisation, service) = name.split_once(ROUTE_SEPARATOR)?;
    Some(Route { organisation: organisation.to_owned(), service: service.to_owned() })
}

/// Parts of a delta as they fill up.
struct Parts {
    head: Delta,
    full: Vec<Delta>,
    open: Delta,
    bytes: usize,
}

impl Parts {
    /// Bytes of values in one part, so that the sealed frame stays a datagram.
    const BYTES: usize = 900;
    /// Bytes of a name's numbers around it.
    const NAME_BYTES: usize = 9;
    /// Bytes of a slot's number and a value, at most.
    const VALUE_BYTES: usize = 8;

    fn new(head: Delta) -> Self {
        Self { open: head.clone(), head, full: Vec::new(), bytes: 0 }
    }

    fn add(&mut self, number: u32, slot: &Slot, base: u32) {
        if slot.born > base {
            self.room(Self::NAME_BYTES + slot.name.len());
            self.open.names.push(Name { slot: number, name: slot.name.clone() });
        }
        if slot.drain.version > base {
            self.room(Self::VALUE_BYTES + 4);
            self.open.drain_slots.push(number);
            self.open.drain_epochs.push(slot.drain.value);
        }
        if slot.flight.version > base {
            self.room(Self::VALUE_BYTES);
            self.open.flight_slots.push(number);
            self.open.flight_counts.push(slot.flight.value);
        }
        if slot.demand.version > base {
            self.room(Self::VALUE_BYTES);
            self.open.demand_slots.push(number);
            self.open.demand_counts.push(slot.demand.value);
        }
    }

    fn room(&mut self, bytes: usize) {
        if self.bytes + bytes > Self::BYTES {
            let full = std::mem::replace(&mut self.open, self.head.clone());
            self.full.push(full);
            self.bytes = 0;
        }
        self.bytes += bytes;
    }

    fn finish(mut self) -> Vec<Delta> {
        self.full.push(self.open);
        let parts = u32::try_from(self.full.len()).unwrap_or(u32::MAX);
        for (number, part) in (0..).zip(&mut self.full) {
            part.part = number;
            part.parts = parts;
        }
        self.full
    }
}
