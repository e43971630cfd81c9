//! The instance list, and heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::time::Time;

use crate::job::TaskName;

/// Capacity of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// CPU in millicores.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Capacity {
    /// The larger of two capacities in each resource.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

/// An entry of the instance list, as the instance reports itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the instance.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address at which it takes calls; port zero if unknown.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Its capacity.
    pub capacity: Capacity,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is draining: about to leave, and not to be given new tasks.
    pub draining: bool,
    /// Minimum time until it leaves, if it is draining.
    pub remaining: Option<Duration>,
    /// Unix time of its process start in milliseconds, which identifies its incarnation; zero if the
    /// entry does not contain it.
    pub incarnation: u64,
    /// Number of times that the instance has written its entry within the incarnation.
    pub sequence: u64,
}

/// Answer of an instance to a heartbeat call: its runs in progress and the runs that ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation: Unix time of its process start in milliseconds; zero if the answer does not
    /// contain it.
    pub incarnation: u64,
    /// Its monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<Run>,
    /// Ended runs that the instance has not been told to forget, in order of their numbers.
    pub ended: Vec<End>,
    /// Whether `ended` may be incomplete: more ends may follow the last one listed. They are listed once
    /// the instance was told to forget those before.
    pub more_ended: bool,
    /// Number of the newest end that the instance listed, whether `ended` contains it or not: other systems
    /// may have started its run. Zero if it listed none.
    pub last_listed_end: u64,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Percent of its work that is done; for a long-running task, percent of its full speed.
    pub percent: u8,
    /// For a task that serves users, the tail latency of its responses in milliseconds; for another
    /// one, the CPU in use.
    pub metric: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Number of the end, counted within the incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub exit: Exit,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Exit {
    /// Its work is done.
    #[display("done")]
    Done,
    /// It failed, by a fault of its own or of the instance.
    #[display("failed")]
    Failed,
    /// A stop command ended it.
    #[display("stopped")]
    Stopped,
    /// Its lease expired.
    #[display("lapsed")]
    Expired,
    /// Another member of its gang ended.
    #[display("broken")]
    GangBroken,
    /// The other members of its gang did not start.
    #[display("alone")]
    GangIncomplete,
}

impl Heartbeat {
    /// Whether a run is in progress.
    pub fn runs(&self, task: TaskName, run: u32) -> bool {
        self.running.iter().any(|running| running.task == task && running.run == run)
    }
}

/// A reading of an instance's clock, from one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// What the clock showed, in milliseconds.
    pub clock_ms: u64,
    /// When the answer arrived, on the scheduler's clock.
    pub at: Time,
}
