//! A worker's standing in a row.

use serde::Deserialize;
use serde::Serialize;

use crate::job::Trust;
use crate::job::Worker;
use crate::time::Time;

/// A worker's standing; the row's key has the name of its instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WorkerRow {
    standing: Trust,
    since: Time,
    until: Time,
    times: u32,
}

impl WorkerRow {
    /// The row of a worker.
    pub(crate) const fn new(worker: &Worker) -> Self {
        let Worker { trust: standing, since, until, quarantines: times, .. } = *worker;
        Self { standing, since, until, times }
    }

    /// The worker of a row.
    pub(crate) fn open(self, instance: &str) -> Worker {
        let Self { standing, since, until, times } = self;
        Worker { instance: instance.to_owned(), trust: standing, since, until, quarantines: times }
    }
}
