//! Which duties an entry takes over and which it hands over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::time::Time;
use platform::table::Version;

use super::HANDOVER_PAUSE;
use super::TAKEOVER_STEP;
use super::TTL;
use super::Watch;
use super::rank::rank;
use super::rank::score;
use crate::duty::Duty;
use crate::duty::Row;

/// A duty's row as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lease {
    /// Version of the row: the condition of every write on behalf of the duty.
    pub version: Version,
    /// Value of the row.
    pub row: Row,
}

/// A conditional write of a duty's row that changes its holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Transfer {
    /// The duty.
    pub duty: Duty,
    /// The version that the row must have for the write to take effect.
    pub expected_version: Version,
    /// New value of the row.
    pub row: Row,
}

/// The leases on all duties as one entry knows them, and its decisions on which duties change
/// hands.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leases {
    name: String,
    incarnation: u64,
    duties: BTreeSet<Duty>,
    /// The known rows of duties.
    rows: BTreeMap<Duty, Lease>,
    /// Since when each orphaned duty is known to have no live holder.
    orphaned: BTreeMap<Duty, Time>,
    /// When this entry last handed over a duty.
    last_handover: Option<Time>,
}

impl Leases {
    /// Leases as seen by the process `incarnation` of the entry `name`.
    pub fn new(name: impl Into<String>, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation, ..Self::default() }
    }

    /// Incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sets the duties that exist.
    pub fn set_duties(&mut self, duties: BTreeSet<Duty>) {
        self.duties = duties;
    }

    /// Applies a duty's row, or `None` if it was deleted. Ignores versions that are not newer than
    /// the known one.
    pub fn apply(&mut self, duty: Duty, version: Version, row: Option<Row>) {
        if self.rows.get(&duty).is_some_and(|lease| lease.version >= version) {
            return;
        }
        match row {
            Some(row) => self.rows.insert(duty, Lease { version, row }),
            None => self.rows.remove(&duty),
        };
    }

    /// The lease on `duty`, if this process holds it according to the known row.
    pub fn held(&self, duty: &Duty) -> Option<&Lease> {
        self.rows.get(duty).filter(|lease| self.is_own(&lease.row))
    }

    /// All leases that this process holds according to the known rows.
    pub fn all_held(&self) -> impl Iterator<Item = (&Duty, &Lease)> {
        self.rows.iter().filter(|(_, lease)| self.is_own(&lease.row))
    }

    /// All known leases, of any holder.
    pub fn rows(&self) -> impl Iterator<Item = (&Duty, &Lease)> {
        self.rows.iter()
    }

    /// All duties that exist.
    pub fn duties(&self) -> impl Iterator<Item = &Duty> {
        self.duties.iter()
    }

    /// Plans the transfers to write now: takeovers of orphaned duties, or else one handover.
    pub fn plan(&mut self, watch: &Watch, now: Time) -> Vec<Transfer> {
        let live = watch.candidates(now);
        if !watch.is_fresh(now) || !live.contains(self.name.as_str()) {
            return Vec::new();
        }
        let orphans = self.update_orphans(watch, &live, now);
        if orphans.is_empty() {
            return self.hand_over(watch, &live, now).into_iter().collect();
        }
        let mut loads = self.loads(&live);
        let max_load = self.duties.len().div_ceil(live.len());
        let mut transfers = Vec::new();
        for duty in orphans {
            let order = rank(&duty, live.iter().copied());
            let least_loaded = order.iter().min_by_key(|name| loads[**name]).copied();
            let below_limit = order.iter().copied().find(|name| loads[*name] < max_load);
            let Some(chosen) = below_limit.or(least_loaded) else { continue };
            *loads.entry(chosen).or_default() += 1;
            if chosen == self.name || self.is_overdue(&duty, &order, now) {
                transfers.push(self.transfer(duty, self.name.clone(), self.incarnation));
            }
        }
        transfers
    }

    /// The transfers to write before this process ends: it releases all its duties.
    pub fn release(&self) -> Vec<Transfer> {
        let held = self.all_held().map(|(duty, _)| duty.clone());
        held.map(|duty| self.transfer(duty, String::new(), 0)).collect()
    }

    /// Whether a duty's row names this process as the holder.
    fn is_own(&self, row: &Row) -> bool {
        row.holder == self.name && row.incarnation == self.incarnation
    }

    /// Updates the set of duties without a live holder, and returns them.
    fn update_orphans(&mut self, watch: &Watch, live: &BTreeSet<&str>, now: Time) -> Vec<Duty> {
        let has_holder = |duty: &&Duty| {
            let lease = self.rows.get(duty);
            lease.is_some_and(|lease| is_alive(&lease.row, watch, live))
        };
        let orphans: Vec<_> =
            self.duties.iter().filter(|duty| !has_holder(duty)).cloned().collect();
        self.orphaned.retain(|duty, _| orphans.contains(duty));
        for duty in &orphans {
            self.orphaned.entry(duty.clone()).or_insert(now);
        }
        orphans
    }

    /// Number of duties that each live entry holds.
    fn loads<'a>(&self, live: &BTreeSet<&'a str>) -> BTreeMap<&'a str, usize> {
        let held = |name: &str| {
            let by_name = self.rows.iter().filter(|(_, lease)| lease.row.holder == name);
            by_name.filter(|(duty, _)| self.duties.contains(duty)).count()
        };
        live.iter().map(|name| (*name, held(name))).collect()
    }

    /// Whether the entries that come before this one in the duty's order of preference have had
    /// enough time to take over the duty.
    fn is_overdue(&self, duty: &Duty, order: &[&str], now: Time) -> bool {
        let position = order.iter().position(|name| *name == self.name).unwrap_or(order.len());
        let since = self.orphaned.get(duty).copied().unwrap_or(now);
        now.since(since) >= TAKEOVER_STEP * (position as u32 + 1)
    }

    /// Hands one duty to the least loaded entry, if this entry is the most loaded one and holds at
    /// least two duties more. Returns `None` until [`HANDOVER_PAUSE`] has passed since the last
    /// handover and the receiving process has been known for longer than [`TTL`].
    fn hand_over(&mut self, watch: &Watch, live: &BTreeSet<&str>, now: Time) -> Option<Transfer> {
        let loads = self.loads(live);
        let (max_load, most_loaded) = loads.iter().map(|(name, load)| (*load, *name)).max()?;
        let (min_load, least_loaded) = loads.iter().map(|(name, load)| (*load, *name)).min()?;
        let paused =
            self.last_handover.is_some_and(|handover| now.since(handover) < HANDOVER_PAUSE);
        let known_for_ttl = watch.age(least_loaded, now) > TTL;
        if most_loaded != self.name || max_load < min_load + 2 || paused || !known_for_ttl {
            return None;
        }
        let held = self.all_held().map(|(duty, _)| duty).filter(|duty| self.duties.contains(duty));
        let duty = held.max_by_key(|duty| score(duty, least_loaded))?.clone();
        let incarnation = watch.row(least_loaded)?.incarnation;
        self.last_handover = Some(now);
        Some(self.transfer(duty, least_loaded.to_owned(), incarnation))
    }

    /// A transfer of `duty` to a process, conditional on the known version of its row.
    fn transfer(&self, duty: Duty, holder: String, incarnation: u64) -> Transfer {
        let lease = self.rows.get(&duty);
        let expected_version = lease.map_or(Version::ABSENT, |lease| lease.version);
        let epoch = lease.map_or(0, |lease| lease.row.epoch) + 1;
        Transfer { duty, expected_version, row: Row { holder, incarnation, epoch } }
    }
}

/// Whether the process named in a duty's row is alive and takes duties.
fn is_alive(row: &Row, watch: &Watch, live: &BTreeSet<&str>) -> bool {
    let same = watch.row(&row.holder).is_some_and(|member| member.incarnation == row.incarnation);
    same && live.contains(row.holder.as_str())
}
