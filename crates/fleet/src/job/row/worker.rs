//! The trust in a worker in a row.

use serde::Deserialize;
use serde::Serialize;

use crate::job::Trust;
use crate::job::Worker;
use crate::time::Time;

/// The trust in a worker; the row's key has the name of its instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WorkerRow {
    #[serde(rename = "standing")]
    trust: Trust,
    since: Time,
    until: Time,
    #[serde(rename = "times")]
    quarantines: u32,
}

impl WorkerRow {
    /// The row for a worker.
    pub(crate) const fn new(worker: &Worker) -> Self {
        let Worker { trust, since, until, quarantines, .. } = *worker;
        Self { trust, since, until, quarantines }
    }

    /// The worker of a row.
    pub(crate) fn open(self, instance: &str) -> Worker {
        let Self { trust, since, until, quarantines } = self;
        Worker { instance: instance.to_owned(), trust, since, until, quarantines }
    }
}
