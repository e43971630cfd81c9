//! Reports received from instances, and start commands sent to them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use contract::Moment;
use fleet::fact::Report;

/// An instance's report and the time on the instance's clock at which it was made.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The report.
    pub report: Report,
    /// Time of the report on the instance's clock.
    pub instance_time: Moment,
}

/// State of the start commands for an attempt that this process recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingStart {
    /// Whether every start command so far is known to have had no effect.
    without_effect: bool,
}

/// Reports received from instances, and start commands sent to them.
///
/// The leases of an instance's attempts run from the time of a report, and are renewed only once
/// all decisions that the report requires are recorded: see [`fleet::job::observe`]. Until then a
/// report is pending.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// Reports that have not been acted upon, by instance name.
    pending: BTreeMap<String, Received>,
    /// By instance name, the latest report whose required decisions are all recorded.
    processed: BTreeMap<String, Received>,
    /// Starts that certainly had no effect yet, by job name and attempt number.
    pending_starts: BTreeMap<(String, u32), PendingStart>,
}

impl Reports {
    /// Adds the latest report of the instance `name` to the pending ones.
    pub fn receive(&mut self, name: &str, received: Received) {
        self.pending.insert(name.to_owned(), received);
    }

    /// Removes and returns the pending reports.
    pub fn take_pending(&mut self) -> BTreeMap<String, Received> {
        std::mem::take(&mut self.pending)
    }

    /// Records that all decisions that a report requires are recorded.
    pub fn mark_processed(&mut self, name: &str, received: Received) {
        self.processed.insert(name.to_owned(), received);
    }

    /// The latest report of the instance `name` for which all required decisions are recorded.
    pub fn processed(&self, name: &str) -> Option<&Received> {
        self.processed.get(name)
    }

    /// Drops the processed reports of all instances but these.
    pub fn retain(&mut self, names: &BTreeSet<&str>) {
        self.processed.retain(|name, _| names.contains(name.as_str()));
    }

    /// Records that this process has recorded an attempt and has not sent its start command yet.
    pub fn track_start(&mut self, job: &str, number: u32) {
        self.pending_starts.insert((job.to_owned(), number), PendingStart { without_effect: true });
    }

    /// Records that an instance may have started an attempt.
    pub fn mark_possibly_started(&mut self, job: &str, number: u32) {
        self.pending_starts.remove(&(job.to_owned(), number));
    }

    /// Whether an attempt whose start command has just been refused has certainly never run: only
    /// this process can have sent start commands for it, and each one was refused.
    pub fn was_never_started(&mut self, job: &str, number: u32) -> bool {
        self.pending_starts.get(&(job.to_owned(), number)).is_some_and(|start| start.without_effect)
    }
}
