//! What this entry has heard from workers, and what it has told them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use contract::Moment;
use fleet::fact::Report;

/// A worker's report and the moment on the worker's clock at which it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The report.
    pub report: Report,
    /// The worker's own time.
    pub worker_time: Moment,
}

/// How a start that this process recorded has been told so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Telling {
    /// Whether each telling so far is known to have had no effect.
    clean: bool,
}

/// What this entry has heard from workers, and what it has told them.
///
/// A lease counts from a moment that a report named, and only once all that the report called for
/// is recorded: see [`fleet::job::observe`]. Reports are therefore kept apart until then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    fresh: BTreeMap<String, Received>,
    processed: BTreeMap<String, Received>,
    tellings: BTreeMap<(String, u32), Telling>,
}

impl Reports {
    /// Notes a worker's latest report, by the name of its instance.
    pub fn receive(&mut self, name: &str, fresh: Received) {
        self.fresh.insert(name.to_owned(), fresh);
    }

    /// The reports that wait to be acted upon; they do no longer.
    pub fn take_pending(&mut self) -> BTreeMap<String, Received> {
        std::mem::take(&mut self.fresh)
    }

    /// Notes that all that a report called for is recorded.
    pub fn mark_processed(&mut self, name: &str, fresh: Received) {
        self.processed.insert(name.to_owned(), fresh);
    }

    /// The latest report all of whose calls are recorded.
    pub fn processed(&self, name: &str) -> Option<&Received> {
        self.processed.get(name)
    }

    /// Drops what is known of all but these instances.
    pub fn retain(&mut self, names: &BTreeSet<&str>) {
        self.processed.retain(|name, _| names.contains(name.as_str()));
    }

    /// Notes that this process has recorded an attempt and told no one of it yet.
    pub fn track_start(&mut self, job: &str, number: u32) {
        self.tellings.insert((job.to_owned(), number), Telling { clean: true });
    }

    /// Notes that a worker may have started an attempt.
    pub fn mark_possibly_started(&mut self, job: &str, number: u32) {
        self.tellings.remove(&(job.to_owned(), number));
    }

    /// Notes that a worker refused to start an attempt. Returns whether it therefore never ran:
    /// only this process can have told of it, and each telling was refused.
    pub fn was_never_started(&mut self, job: &str, number: u32) -> bool {
        self.tellings.get(&(job.to_owned(), number)).is_some_and(|telling| telling.clean)
    }
}
