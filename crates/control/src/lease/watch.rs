//! Failure detector for entries, based on the observer's own monotonic clock only.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;
use platform::table::Version;

use super::MAX_READ_GAP;
use super::SLOW_TTL;
use super::TTL;
use crate::member::Row;

/// An entry's condition as reported by peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerReport {
    /// Unknown to the peers, or not reachable by them.
    #[default]
    Unreachable,
    /// Alive, but reports that it cannot reach the platform.
    Isolated,
    /// Alive, and reports that it reaches the platform.
    Healthy,
    /// Has announced that it stops.
    Left,
}

/// An entry's row and the times at which it was observed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Observation {
    version: Version,
    row: Row,
    /// When this process of the entry was first observed.
    first: Time,
    /// When the row last changed.
    changed: Time,
}

/// Failure detector: which entries are alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Watch {
    observations: BTreeMap<String, Observation>,
    peer_reports: BTreeMap<String, PeerReport>,
    /// Start and end of the latest series of reads without a gap.
    series: Option<(Time, Time)>,
}

impl Watch {
    /// Records that all rows are up to date at `now`.
    ///
    /// After a gap of more than [`MAX_READ_GAP`] the time without a change of each row is counted
    /// from zero again, because the observer itself may have been paused.
    pub fn record_read(&mut self, now: Time) {
        let start = match self.series {
            Some((start, end)) if now.since(end) <= MAX_READ_GAP && end <= now => start,
            _ => now,
        };
        self.series = Some((start, now));
    }

    /// Records an entry's row, or `None` if it was deleted. Ignores versions that are not newer
    /// than the known one.
    pub fn observe(&mut self, name: &str, version: Version, row: Option<Row>, now: Time) {
        let Some(row) = row else {
            self.observations.remove(name);
            return;
        };
        let known = self.observations.get(name);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        let same = known.filter(|known| known.row.incarnation == row.incarnation);
        let first = same.map_or(now, |known| known.first);
        let observation = Observation { version, row, first, changed: now };
        self.observations.insert(name.to_owned(), observation);
    }

    /// Replaces the peers' reports on all entries.
    pub fn set_peer_reports(&mut self, reports: BTreeMap<String, PeerReport>) {
        self.peer_reports = reports;
    }

    /// An entry's row.
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.observations.get(name).map(|observation| &observation.row)
    }

    /// Names and rows of all entries that have a row.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &Row)> {
        self.observations.iter().map(|(name, observation)| (name.as_str(), &observation.row))
    }

    /// Whether the observer's latest read is at most [`MAX_READ_GAP`] old.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.series.is_some_and(|(_, end)| now.since(end) <= MAX_READ_GAP)
    }

    /// Whether the entry `name` is considered dead; an entry without a row counts as dead.
    pub fn is_dead(&self, name: &str, now: Time) -> bool {
        let Some(observation) = self.observations.get(name) else { return true };
        if observation.row.ended || self.peer_report(name) == PeerReport::Left {
            return true;
        }
        self.silence(observation, now) > self.ttl(name)
    }

    /// Names of the live entries that take duties.
    pub fn candidates(&self, now: Time) -> BTreeSet<&str> {
        let candidates =
            self.observations.iter().filter(|(_, observation)| observation.row.candidate);
        let alive = candidates.filter(|(name, _)| !self.is_dead(name, now));
        alive.map(|(name, _)| name.as_str()).collect()
    }

    /// Time since the entry's current process was first observed; zero for an unknown entry.
    pub fn age(&self, name: &str, now: Time) -> Duration {
        self.observations
            .get(name)
            .map_or(Duration::ZERO, |observation| now.since(observation.first))
    }

    /// The peers' report on an entry.
    fn peer_report(&self, name: &str) -> PeerReport {
        self.peer_reports.get(name).copied().unwrap_or_default()
    }

    /// The time without a heartbeat after which the entry is dead.
    fn ttl(&self, name: &str) -> Duration {
        match self.peer_report(name) {
            PeerReport::Healthy => SLOW_TTL,
            PeerReport::Unreachable | PeerReport::Isolated | PeerReport::Left => TTL,
        }
    }

    /// How long the row has not changed, counting only time covered by the series of reads.
    fn silence(&self, observation: &Observation, now: Time) -> Duration {
        match self.series {
            Some((start, end)) if now.since(end) <= MAX_READ_GAP => {
                end.since(observation.changed.max(start))
            }
            _ => Duration::ZERO,
        }
    }
}
