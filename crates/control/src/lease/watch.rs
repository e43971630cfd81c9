//! Which entries are alive, judged by the observer's own clock alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use platform::table::Version;

use super::MAX_READ_GAP;
use super::SLOW_TTL;
use super::TTL;
use crate::member::Row;

/// What peers say about an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerReport {
    /// Nothing, or that it is not heard of.
    #[default]
    Unheard,
    /// It is heard of, and says that it cannot reach the platform.
    Isolated,
    /// It is heard of, and says that it reaches the platform.
    Healthy,
    /// It said that it stops.
    Left,
}

/// An entry's row and when it last changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Sighting {
    version: Version,
    row: Row,
    first: Time,
    changed: Time,
}

/// Which entries are alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Watch {
    sightings: BTreeMap<String, Sighting>,
    hearsay: BTreeMap<String, PeerReport>,
    /// Start and end of the unbroken run of reads.
    run: Option<(Time, Time)>,
}

impl Watch {
    /// Notes that all rows are known as of `now`.
    ///
    /// After a gap of more than [`MAX_READ_GAP`] all entries are given their time afresh: what stood
    /// still may have been the observer.
    pub fn record_read(&mut self, now: Time) {
        let start = match self.run {
            Some((start, end)) if now.since(end) <= MAX_READ_GAP && end <= now => start,
            _ => now,
        };
        self.run = Some((start, now));
    }

    /// Notes an entry's row, or that it is gone. Older versions than the known one are left out.
    pub fn observe(&mut self, name: &str, version: Version, row: Option<Row>, now: Time) {
        let Some(row) = row else {
            self.sightings.remove(name);
            return;
        };
        let known = self.sightings.get(name);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        let same = known.filter(|known| known.row.incarnation == row.incarnation);
        let first = same.map_or(now, |known| known.first);
        let sighting = Sighting { version, row, first, changed: now };
        self.sightings.insert(name.to_owned(), sighting);
    }

    /// Notes what peers say about the entries, all at once.
    pub fn set_peer_reports(&mut self, hearsay: BTreeMap<String, PeerReport>) {
        self.hearsay = hearsay;
    }

    /// An entry's row.
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.sightings.get(name).map(|sighting| &sighting.row)
    }

    /// All entries that have a row, with it.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &Row)> {
        self.sightings.iter().map(|(name, sighting)| (name.as_str(), &sighting.row))
    }

    /// Whether the observer's own reads go through.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.run.is_some_and(|(_, end)| now.since(end) <= MAX_READ_GAP)
    }

    /// Whether the entry of this name is dead; one with no row is.
    pub fn is_dead(&self, name: &str, now: Time) -> bool {
        let Some(sighting) = self.sightings.get(name) else { return true };
        if sighting.row.ended || self.hearsay_of(name) == PeerReport::Left {
            return true;
        }
        self.still(sighting, now) > self.patience(name)
    }

    /// Names of the entries that take duties and are alive.
    pub fn candidates(&self, now: Time) -> BTreeSet<&str> {
        let wanting = self.sightings.iter().filter(|(_, sighting)| sighting.row.candidate);
        let alive = wanting.filter(|(name, _)| !self.is_dead(name, now));
        alive.map(|(name, _)| name.as_str()).collect()
    }

    /// For how long the entry's process has been known.
    pub fn age(&self, name: &str, now: Time) -> Duration {
        self.sightings.get(name).map_or(Duration::ZERO, |sighting| now.since(sighting.first))
    }

    fn hearsay_of(&self, name: &str) -> PeerReport {
        self.hearsay.get(name).copied().unwrap_or_default()
    }

    fn patience(&self, name: &str) -> Duration {
        match self.hearsay_of(name) {
            PeerReport::Healthy => SLOW_TTL,
            PeerReport::Unheard | PeerReport::Isolated | PeerReport::Left => TTL,
        }
    }

    /// How long the row is known to have stood still, as far as the reads reach.
    fn still(&self, sighting: &Sighting, now: Time) -> Duration {
        match self.run {
            Some((start, end)) if now.since(end) <= MAX_READ_GAP => {
                end.since(sighting.changed.max(start))
            }
            _ => Duration::ZERO,
        }
    }
}
