//! What the control loop has found out about the fleet, as the decision systems are told.

use std::collections::BTreeMap;

use crate::config::Size;
use crate::key;
use crate::time::Time;

/// One thing that was found out.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The instance list has it, live or leaving. The lag is the list's own.
    Listed {
        /// Which instance.
        instance: key::Instance,
        /// Whether the platform is taking it away.
        leaving: bool,
    },
    /// The instance list has it no more.
    Unlisted(key::Instance),
    /// It answers its health check, by the process that was last told its epoch.
    Healthy(key::Instance),
    /// It answers its health check, and is a new process: it was told no epoch yet. While the
    /// instance is [stopped](crate::instance::State::Stopped) it must not be told one, so that a
    /// new holder of the duty sees the restart too.
    Restarted(key::Instance),
    /// It has not answered for long enough to count as failed.
    Unresponsive(key::Instance),
    /// Every entry that could still send to it has acknowledged its drain epoch, and nothing is in
    /// flight.
    Quiesced(key::Instance),
    /// These entries have not acknowledged its drain yet, or still have requests in flight.
    Unacknowledged {
        /// Which instance.
        instance: key::Instance,
        /// Names of the entries.
        by: Vec<String>,
    },
    /// How many requests each pool has queued or in flight, over all entries.
    Demand(BTreeMap<key::Pool, u32>),
    /// A worker's report.
    Report(Report),
    /// A worker of the [boot](Report::boot) that the attempt was recorded for refused to start it:
    /// the attempt never ran, and the worker keeps refusing it. That nothing was sent, or that the
    /// worker has another boot, is no refusal.
    Refused {
        /// Whose worker.
        instance: key::Instance,
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
    },
}

/// A worker's report, as old as its lag.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Which instance.
    pub instance: key::Instance,
    /// Differs with each start of the worker's process.
    pub boot: u64,
    /// The worker's epoch: reports of an older one are not used.
    pub epoch: u64,
    /// When the worker took it.
    pub taken: Time,
    /// Attempts it holds or has lately ended.
    pub attempts: Vec<Attempt>,
}

/// One attempt in a worker's [`Report`].
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Name of the job.
    pub job: String,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// How it stands.
    pub phase: Phase,
    /// What it uses.
    pub usage: Size,
    /// Where its last checkpoint is.
    pub checkpoint: Option<String>,
}

/// How an attempt stands at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Running.
    Running,
    /// Running with less than it asked for.
    Throttled,
    /// Checkpointed: stopped, and can go on elsewhere.
    Checkpointed,
    /// Ended well.
    Succeeded,
    /// Ended in failure.
    Failed,
    /// Stopped because it was told to.
    Stopped,
}
