//! Which entries could still send, and what they have acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

use crate::member::Ack;

/// What an entry says of itself, over whichever path it came.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SenderReport {
    /// Which process of the entry says so.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: String,
    /// Whether the process will send nothing more.
    pub ended: bool,
    /// What it acknowledges, by instance name.
    pub drains: BTreeMap<String, Ack>,
}

/// What an instance says of itself when it is told to drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Intake {
    /// It does not answer.
    #[default]
    Unresponsive,
    /// It refuses new work as of this epoch, and works on so many requests.
    Closed {
        /// The highest epoch that it was told.
        epoch: u64,
        /// Requests that it works on.
        in_flight: u32,
    },
    /// It answers, and still takes work.
    Open,
}

/// Whether an instance may be stopped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// Nothing is in flight and nothing will be sent, for good.
    Quiesced,
    /// These still stand in the way: names of entries, or of the instance itself.
    Blocked(Vec<String>),
}

/// An entry that was heard of in any way.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Known {
    incarnation: u64,
    data_centre: String,
    /// Whether the latest process said that it sends nothing more.
    ended: bool,
    /// Whether its row was removed, which is done only once it is certain that it is gone. The
    /// process may prove that wrong by writing its row again.
    dismissed: bool,
    /// The best that the latest process acknowledged.
    drains: BTreeMap<String, Ack>,
    /// Whether the instance list ever had it.
    listed: bool,
    /// Since when the instance list has it no more.
    unlisted: Option<Time>,
}

/// All entries that could still send.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Senders {
    known: BTreeMap<String, Known>,
    list_lag: Duration,
}

impl Senders {
    /// A census for an instance list that is at most `list_lag` behind the truth.
    pub fn new(list_lag: Duration) -> Self {
        Self { known: BTreeMap::new(), list_lag }
    }

    /// Notes what an entry says of itself. Word of an older process of the same name is left out.
    ///
    /// What a process has once acknowledged with nothing in flight stands: it sends nothing there
    /// until the instance has a higher epoch.
    pub fn record(&mut self, name: &str, evidence: SenderReport) {
        let known = self.known.entry(name.to_owned()).or_default();
        if evidence.incarnation < known.incarnation {
            return;
        }
        if evidence.incarnation > known.incarnation {
            known.incarnation = evidence.incarnation;
            known.drains.clear();
            known.ended = false;
            known.dismissed = false;
        }
        known.data_centre = evidence.data_centre;
        known.ended |= evidence.ended;
        for (instance, ack) in evidence.drains {
            let best = known.drains.entry(instance).or_insert(ack);
            if rank(ack) > rank(*best) {
                *best = ack;
            }
        }
    }

    /// Notes the entries that the instance list has, by name with their data centres.
    pub fn update_listed(&mut self, listed: &BTreeMap<String, String>, now: Time) {
        for (name, data_centre) in listed {
            let known = self.known.entry(name.clone()).or_default();
            known.listed = true;
            if known.data_centre.is_empty() {
                known.data_centre.clone_from(data_centre);
            }
        }
        for (name, known) in &mut self.known {
            let missing = known.listed && !listed.contains_key(name);
            known.unlisted = missing.then(|| known.unlisted.unwrap_or(now));
        }
    }

    /// Notes that an entry's row was removed, as one that is certainly gone.
    pub fn remove(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.dismissed = true;
        }
    }

    /// Notes that an entry's row was written.
    pub fn reinstate(&mut self, name: &str) {
        self.known.entry(name.to_owned()).or_default().dismissed = false;
    }

    /// Drops what was acknowledged about instances that are no longer drained.
    pub fn retain(&mut self, drained: &BTreeSet<&str>) {
        for known in self.known.values_mut() {
            known.drains.retain(|name, _| drained.contains(name.as_str()));
        }
    }

    /// Names of the entries that could still send.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.known.iter().filter(|(_, known)| !known.has_ended()).map(|(name, _)| name.as_str())
    }

    /// Whether `instance` may be stopped that drains as of `epoch`.
    pub fn readiness(&self, instance: &str, epoch: u64, fence: Intake, now: Time) -> Readiness {
        let closed = is_closed(fence, epoch);
        let stands_in_the_way = |(name, known): (&String, &Known)| {
            let free = known.has_ended()
                || known.has_acknowledged(instance, epoch)
                || (closed && self.is_gone(known, now));
            (!free).then(|| name.clone())
        };
        let mut waits: Vec<_> = self.known.iter().filter_map(stands_in_the_way).collect();
        if fence != Intake::Unresponsive && !closed {
            waits.push(instance.to_owned());
        }
        if waits.is_empty() { Readiness::Quiesced } else { Readiness::Blocked(waits) }
    }

    /// Whether the instance list took an entry off for longer than its lag, and not together with
    /// all of its data centre, which would look the same if the list lost sight of that.
    fn is_gone(&self, known: &Known, now: Time) -> bool {
        let off = known.unlisted.is_some_and(|since| now.since(since) > self.list_lag);
        off && self.known.values().any(|other| {
            other.data_centre == known.data_centre && other.listed && other.unlisted.is_none()
        })
    }
}

impl Known {
    fn has_ended(&self) -> bool {
        self.ended || self.dismissed
    }

    fn has_acknowledged(&self, instance: &str, epoch: u64) -> bool {
        self.drains.get(instance).is_some_and(|ack| ack.epoch >= epoch && ack.in_flight == 0)
    }
}

/// The higher, the more an acknowledgement says.
fn rank(ack: Ack) -> (u64, u32) {
    (ack.epoch, u32::MAX - ack.in_flight)
}

/// Whether the instance itself refuses new work and has none.
fn is_closed(fence: Intake, least: u64) -> bool {
    matches!(fence, Intake::Closed { epoch, in_flight: 0 } if epoch >= least)
}

impl From<crate::member::Row> for SenderReport {
    fn from(row: crate::member::Row) -> Self {
        let crate::member::Row { incarnation, data_centre, ended, drains, .. } = row;
        Self { incarnation, data_centre, ended, drains }
    }
}
