//! Which duties to take up and which to hand over.

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
    /// Its version: the condition of every write that rests on the duty.
    pub version: Version,
    /// Its value.
    pub row: Row,
}

/// A write of a duty's row: it takes effect only if the row still has this version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Transfer {
    /// Which duty.
    pub duty: Duty,
    /// The version that its row must have.
    pub expected_version: Version,
    /// Its new value.
    pub row: Row,
}

/// One entry's part in sharing out the duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leases {
    name: String,
    incarnation: u64,
    wanted: BTreeSet<Duty>,
    rows: BTreeMap<Duty, Lease>,
    /// Since when a duty has no live holder.
    orphaned: BTreeMap<Duty, Time>,
    gave: Option<Time>,
}

impl Leases {
    /// The part of the process `incarnation` of the entry `name`.
    pub fn new(name: impl Into<String>, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation, ..Self::default() }
    }

    /// Which process of its name this is.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Names the duties that there are.
    pub fn set_duties(&mut self, duties: BTreeSet<Duty>) {
        self.wanted = duties;
    }

    /// Notes a duty's row, or that it is gone. Older versions than the known one are left out.
    pub fn apply(&mut self, duty: Duty, version: Version, row: Option<Row>) {
        if self.rows.get(&duty).is_some_and(|known| known.version >= version) {
            return;
        }
        match row {
            Some(row) => self.rows.insert(duty, Lease { version, row }),
            None => self.rows.remove(&duty),
        };
    }

    /// The duty's row, if this process holds it as far as it knows.
    pub fn held(&self, duty: &Duty) -> Option<&Lease> {
        self.rows.get(duty).filter(|held| self.is_mine(&held.row))
    }

    /// All duties that this process holds as far as it knows.
    pub fn all_held(&self) -> impl Iterator<Item = (&Duty, &Lease)> {
        self.rows.iter().filter(|(_, held)| self.is_mine(&held.row))
    }

    /// All duties that are known, held or not.
    pub fn rows(&self) -> impl Iterator<Item = (&Duty, &Lease)> {
        self.rows.iter()
    }

    /// All duties that there are.
    pub fn wanted(&self) -> impl Iterator<Item = &Duty> {
        self.wanted.iter()
    }

    /// What to write now: duties to take up, or one to hand over.
    pub fn plan(&mut self, watch: &Watch, now: Time) -> Vec<Transfer> {
        let live = watch.candidates(now);
        if !watch.is_fresh(now) || !live.contains(self.name.as_str()) {
            return Vec::new();
        }
        let orphans = self.note_orphans(watch, &live, now);
        if orphans.is_empty() {
            return self.hand_over(watch, &live, now).into_iter().collect();
        }
        let mut loads = self.loads(&live);
        let most = self.wanted.len().div_ceil(live.len());
        let mut steps = Vec::new();
        for duty in orphans {
            let order = rank(&duty, live.iter().copied());
            let least = order.iter().min_by_key(|name| loads[**name]).copied();
            let free = order.iter().copied().find(|name| loads[*name] < most);
            let Some(chosen) = free.or(least) else { continue };
            *loads.entry(chosen).or_default() += 1;
            if chosen == self.name || self.is_overdue(&duty, &order, now) {
                steps.push(self.step_to(duty, self.name.clone(), self.incarnation));
            }
        }
        steps
    }

    /// What to write before this process ends: all its duties given up.
    pub fn release(&self) -> Vec<Transfer> {
        let mine = self.all_held().map(|(duty, _)| duty.clone());
        mine.map(|duty| self.step_to(duty, String::new(), 0)).collect()
    }

    fn is_mine(&self, row: &Row) -> bool {
        row.holder == self.name && row.incarnation == self.incarnation
    }

    /// Duties with no live holder, and since when.
    fn note_orphans(&mut self, watch: &Watch, live: &BTreeSet<&str>, now: Time) -> Vec<Duty> {
        let has_holder = |duty: &&Duty| {
            let held = self.rows.get(duty);
            held.is_some_and(|held| is_alive(&held.row, watch, live))
        };
        let orphans: Vec<_> =
            self.wanted.iter().filter(|duty| !has_holder(duty)).cloned().collect();
        self.orphaned.retain(|duty, _| orphans.contains(duty));
        for duty in &orphans {
            self.orphaned.entry(duty.clone()).or_insert(now);
        }
        orphans
    }

    /// How many duties each live entry holds.
    fn loads<'a>(&self, live: &BTreeSet<&'a str>) -> BTreeMap<&'a str, usize> {
        let held = |name: &str| {
            let by_name = self.rows.iter().filter(|(_, held)| held.row.holder == name);
            by_name.filter(|(duty, _)| self.wanted.contains(duty)).count()
        };
        live.iter().map(|name| (*name, held(name))).collect()
    }

    /// Whether the duty has waited for others before this one in its order for too long.
    fn is_overdue(&self, duty: &Duty, order: &[&str], now: Time) -> bool {
        let place = order.iter().position(|name| *name == self.name).unwrap_or(order.len());
        let since = self.orphaned.get(duty).copied().unwrap_or(now);
        now.since(since) >= TAKEOVER_STEP * (place as u32 + 1)
    }

    /// One duty to the entry with the fewest, if this one has the most and that is uneven.
    fn hand_over(&mut self, watch: &Watch, live: &BTreeSet<&str>, now: Time) -> Option<Transfer> {
        let loads = self.loads(live);
        let (most, giver) = loads.iter().map(|(name, load)| (*load, *name)).max()?;
        let (least, taker) = loads.iter().map(|(name, load)| (*load, *name)).min()?;
        let paused = self.gave.is_some_and(|gave| now.since(gave) < HANDOVER_PAUSE);
        let settled = watch.age(taker, now) > TTL;
        if giver != self.name || most < least + 2 || paused || !settled {
            return None;
        }
        let mine = self.all_held().map(|(duty, _)| duty).filter(|duty| self.wanted.contains(duty));
        let duty = mine.max_by_key(|duty| score(duty, taker))?.clone();
        let incarnation = watch.row(taker)?.incarnation;
        self.gave = Some(now);
        Some(self.step_to(duty, taker.to_owned(), incarnation))
    }

    fn step_to(&self, duty: Duty, holder: String, incarnation: u64) -> Transfer {
        let known = self.rows.get(&duty);
        let before = known.map_or(Version::ABSENT, |held| held.version);
        let epoch = known.map_or(0, |held| held.row.epoch) + 1;
        Transfer { duty, expected_version: before, row: Row { holder, incarnation, epoch } }
    }
}

fn is_alive(row: &Row, watch: &Watch, live: &BTreeSet<&str>) -> bool {
    let same = watch.row(&row.holder).is_some_and(|member| member.incarnation == row.incarnation);
    same && live.contains(row.holder.as_str())
}
