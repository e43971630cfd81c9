//! What instances say of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;

use crate::job::TaskName;

/// What an instance can hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the instance.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// What it can hold.
    pub capacity: Capacity,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Least time until it leaves, if it is about to.
    pub remaining: Option<Duration>,
    /// Unix time of its start in milliseconds, which tells one life from the next; nought if the
    /// entry does not say.
    pub incarnation: u64,
    /// Counts the entry's writes within one life.
    pub sequence: u64,
}

/// What an instance runs and what has ended there, as it answered a look.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Unix time of its start in milliseconds; nought if it does not say.
    pub incarnation: u64,
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Run>,
    /// What has ended and was not forgotten yet, in order.
    pub ended: Vec<End>,
    /// Whether more ends may follow those told.
    pub more_ended: bool,
}

/// A run under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: TaskName,
    /// Which run of it.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Percent of its work that is done, or of its speed if it lasts.
    pub percent: u8,
    /// For a serving task the tail of its users' response times in milliseconds; for another the
    /// processors in use.
    pub metric: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Counts the ends of one life of the instance.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Which run of it.
    pub run: u32,
    /// How it ended.
    pub exit: Exit,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Exit {
    /// With its work done.
    #[display("done")]
    Done,
    /// By its own fault or the instance's.
    #[display("failed")]
    Failed,
    /// By our order.
    #[display("stopped")]
    Stopped,
    /// Because its lease ran out.
    #[display("lapsed")]
    Expired,
    /// Because another member of its gang ended.
    #[display("broken")]
    GangBroken,
    /// Because the other members of its gang did not come.
    #[display("alone")]
    GangIncomplete,
}

impl Heartbeat {
    /// Whether a run is under way.
    pub fn runs(&self, task: TaskName, run: u32) -> bool {
        self.running.iter().any(|row| row.task == task && row.run == run)
    }
}

/// An instance's clock as read in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// What it showed, in milliseconds.
    pub clock_ms: u64,
    /// When the answer came.
    pub at: Time,
}
