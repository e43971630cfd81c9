//! Observations of the control loop about the fleet, the input of the planning functions.

use std::collections::BTreeMap;

use crate::config::Size;
use crate::key;
use crate::time::Time;

/// One observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The platform's instance list contains the instance. The list may lag behind the platform.
    Listed {
        /// The instance.
        instance: key::Instance,
        /// Whether the platform is about to remove the instance.
        leaving: bool,
    },
    /// The platform's instance list no longer contains the instance.
    Unlisted(key::Instance),
    /// The instance answers its health check, from the process that last received its epoch.
    Healthy(key::Instance),
    /// The instance answers its health check, from a new process that has not received an epoch yet.
    /// While the instance is [stopped](crate::instance::State::Stopped) no epoch may be sent to it,
    /// so that the next holder of the duty detects the restart too.
    Restarted(key::Instance),
    /// The instance has not answered its health checks for long enough to count as failed.
    Unresponsive(key::Instance),
    /// Every entry that could still send requests to the instance has acknowledged its drain epoch,
    /// and no request is in flight.
    Quiesced(key::Instance),
    /// Some entries have not acknowledged the instance's drain yet, or still have requests in flight.
    Unacknowledged {
        /// The instance.
        instance: key::Instance,
        /// Names of the entries.
        by: Vec<String>,
    },
    /// Requests queued or in flight for each pool, summed over all entries.
    Demand(BTreeMap<key::Pool, u32>),
    /// A worker's report.
    Report(Report),
    /// A worker of the [boot](Report::boot) that the attempt was recorded for refused to start it:
    /// the attempt never ran, and the worker will refuse it again. A command that was not sent, or
    /// that a worker of another boot rejected, does not count as refused.
    Refused {
        /// The instance of the worker.
        instance: key::Instance,
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
    },
}

/// A worker's report, which may be received with a delay.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The instance.
    pub instance: key::Instance,
    /// Identifies the worker's process; differs with each start.
    pub boot: u64,
    /// The worker's epoch; reports with an older one are ignored.
    pub epoch: u64,
    /// When the worker created the report.
    pub taken: Time,
    /// Attempts that it runs or that ended recently.
    pub attempts: Vec<Attempt>,
}

/// One attempt in a worker's [`Report`].
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Name of the job.
    pub job: String,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Its phase.
    pub phase: Phase,
    /// Resources that it uses.
    pub usage: Size,
    /// Location of its last checkpoint.
    pub checkpoint: Option<String>,
}

/// Phase of an attempt at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Running.
    Running,
    /// Running with limited resources.
    Throttled,
    /// Stopped with a checkpoint, from which it can resume elsewhere.
    Checkpointed,
    /// Ended with success.
    Succeeded,
    /// Ended in failure.
    Failed,
    /// Stopped by a command.
    Stopped,
}
