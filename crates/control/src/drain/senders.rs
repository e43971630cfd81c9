//! The entries that may still send requests, and the drains they have acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

use crate::member::Ack;

/// An entry's report about itself, received through the table or from peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SenderReport {
    /// Incarnation of the process that reports.
    pub incarnation: u64,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Whether the process has announced that it will send no more requests.
    pub ended: bool,
    /// Drains that it acknowledges, by instance name.
    pub drains: BTreeMap<String, Ack>,
}

/// Whether an instance accepts new work, as it answers polls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Intake {
    /// The instance does not answer.
    #[default]
    Unresponsive,
    /// It answers and refuses new work.
    Closed {
        /// The instance's epoch in the latest fencing token that it has received.
        epoch: u64,
        /// Requests that it is still processing.
        in_flight: u32,
    },
    /// It answers and accepts new work.
    Open,
}

/// Whether an instance may be stopped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// No request is in flight, and none will be sent during this epoch.
    Quiesced,
    /// The stop has to wait for these entries, or for the instance itself, by name.
    Blocked(Vec<String>),
}

/// An entry known from any source.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Sender {
    incarnation: u64,
    data_centre: String,
    /// Whether the latest process has announced that it sends no more requests.
    ended: bool,
    /// Whether its row was removed, which happens only once the process has certainly ended. If the
    /// process writes its row again, this is reset.
    removed: bool,
    /// The strongest acknowledgement of the latest process for each instance.
    drains: BTreeMap<String, Ack>,
    /// Whether the entry was ever in the instance list.
    listed: bool,
    /// Since when the entry is missing from the instance list.
    unlisted: Option<Time>,
}

/// The entries known from any source: which of them may still send requests, and which drains they
/// have acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Senders {
    senders: BTreeMap<String, Sender>,
    /// Maximum age of the data in the instance list.
    list_lag: Duration,
}

impl Senders {
    /// An empty set, for an instance list whose data is at most `list_lag` old.
    pub fn new(list_lag: Duration) -> Self {
        Self { senders: BTreeMap::new(), list_lag }
    }

    /// Records an entry's report about itself. Ignores reports of earlier processes of its name.
    ///
    /// An acknowledgement with no requests in flight remains valid: the process sends nothing to
    /// the instance until the instance has a higher epoch.
    pub fn record(&mut self, name: &str, report: SenderReport) {
        let sender = self.senders.entry(name.to_owned()).or_default();
        if report.incarnation < sender.incarnation {
            return;
        }
        if report.incarnation > sender.incarnation {
            sender.incarnation = report.incarnation;
            sender.drains.clear();
            sender.ended = false;
            sender.removed = false;
        }
        sender.data_centre = report.data_centre;
        sender.ended |= report.ended;
        for (instance, ack) in report.drains {
            let strongest = sender.drains.entry(instance).or_insert(ack);
            if strength(ack) > strength(*strongest) {
                *strongest = ack;
            }
        }
    }

    /// Records the entries in the instance list: data centres by entry name.
    pub fn update_listed(&mut self, listed: &BTreeMap<String, String>, now: Time) {
        for (name, data_centre) in listed {
            let sender = self.senders.entry(name.clone()).or_default();
            sender.listed = true;
            if sender.data_centre.is_empty() {
                sender.data_centre.clone_from(data_centre);
            }
        }
        for (name, sender) in &mut self.senders {
            let missing = sender.listed && !listed.contains_key(name);
            sender.unlisted = missing.then(|| sender.unlisted.unwrap_or(now));
        }
    }

    /// Records that an entry's row was removed because its process has certainly ended.
    pub fn remove(&mut self, name: &str) {
        if let Some(sender) = self.senders.get_mut(name) {
            sender.removed = true;
        }
    }

    /// Records that an entry's row was written.
    pub fn reinstate(&mut self, name: &str) {
        self.senders.entry(name.to_owned()).or_default().removed = false;
    }

    /// Drops acknowledgements for instances that are not in `drained`.
    pub fn retain(&mut self, drained: &BTreeSet<&str>) {
        for sender in self.senders.values_mut() {
            sender.drains.retain(|name, _| drained.contains(name.as_str()));
        }
    }

    /// Names of the entries that may still send requests.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.senders.iter().filter(|(_, sender)| !sender.has_ended()).map(|(name, _)| name.as_str())
    }

    /// Whether `instance`, draining since `epoch`, may be stopped.
    pub fn readiness(&self, instance: &str, epoch: u64, intake: Intake, now: Time) -> Readiness {
        let closed = is_closed(intake, epoch);
        let blocker = |(name, sender): (&String, &Sender)| {
            let is_clear = sender.has_ended()
                || sender.has_acknowledged(instance, epoch)
                || (closed && self.is_gone(sender, now));
            (!is_clear).then(|| name.clone())
        };
        let mut blockers: Vec<_> = self.senders.iter().filter_map(blocker).collect();
        if intake != Intake::Unresponsive && !closed {
            blockers.push(instance.to_owned());
        }
        if blockers.is_empty() { Readiness::Quiesced } else { Readiness::Blocked(blockers) }
    }

    /// Whether the entry has been missing from the instance list for longer than the list's lag
    /// while other entries of its data centre are listed. If its whole data centre is missing, the
    /// list may have lost its connection to that data centre.
    fn is_gone(&self, sender: &Sender, now: Time) -> bool {
        let is_unlisted = sender.unlisted.is_some_and(|since| now.since(since) > self.list_lag);
        is_unlisted
            && self.senders.values().any(|other| {
                other.data_centre == sender.data_centre && other.listed && other.unlisted.is_none()
            })
    }
}

impl Sender {
    fn has_ended(&self) -> bool {
        self.ended || self.removed
    }

    fn has_acknowledged(&self, instance: &str, epoch: u64) -> bool {
        self.drains.get(instance).is_some_and(|ack| ack.epoch >= epoch && ack.in_flight == 0)
    }
}

/// Orders acknowledgements by strength: later epochs first, then fewer requests in flight.
fn strength(ack: Ack) -> (u64, u32) {
    (ack.epoch, u32::MAX - ack.in_flight)
}

/// Whether the instance refuses new work since `min_epoch` and has no requests left.
fn is_closed(intake: Intake, min_epoch: u64) -> bool {
    matches!(intake, Intake::Closed { epoch, in_flight: 0 } if epoch >= min_epoch)
}

impl From<crate::member::Row> for SenderReport {
    fn from(row: crate::member::Row) -> Self {
        let crate::member::Row { incarnation, data_centre, ended, drains, .. } = row;
        Self { incarnation, data_centre, ended, drains }
    }
}
