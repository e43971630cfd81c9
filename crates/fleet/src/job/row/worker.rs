//! A worker's standing in a row.

use serde::Deserialize;
use serde::Serialize;

use crate::job::Standing;
use crate::job::Worker;
use crate::time::Time;

/// A worker's standing; the row's key has the name of its instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WorkerRow {
    standing: Standing,
    since: Time,
    until: Time,
    times: u32,
}

impl WorkerRow {
    /// The row of a worker.
    pub(crate) const fn new(worker: &Worker) -> Self {
        let Worker { standing, since, until, times, .. } = *worker;
        Self { standing, since, until, times }
    }

    /// The worker of a row.
    pub(crate) fn open(self, instance: &str) -> Worker {
        let Self { standing, since, until, times } = self;
        Worker { instance: instance.to_owned(), standing, since, until, times }
    }
}
