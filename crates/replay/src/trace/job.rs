//! Jobs and workers in a trace.

use serde::Deserialize;
use serde::Serialize;

/// Jobs that are submitted together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Batch {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the team.
    pub team: String,
    /// Kind of job, as configured.
    pub kind: String,
    /// What their names begin with; a number follows.
    pub name: String,
    /// How many.
    pub count: u32,
    /// How long each runs, milliseconds; as declared if 0.
    pub run_ms: u64,
    /// What each uses, hundredths of what is declared; 100 if 0.
    pub usage_percent: u32,
    /// Whether each fails at its end, wherever it runs.
    pub fails: bool,
}

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// As it should.
    #[default]
    None,
    /// Every task fails, and soon.
    FailsAll,
    /// Nothing reaches it and nothing comes back; its tasks go on until its lease lapses.
    Unreachable,
    /// It writes no checkpoints and does not throttle.
    Stubborn,
}
