//! Operator actions on maintenance waves.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// A command to a wave.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveCommand {
    /// Starts the wave.
    #[display("start")]
    Start,
    /// Takes no further instance out of service until the wave is resumed.
    #[display("pause")]
    Pause,
    /// Continues after a pause.
    #[display("resume")]
    Resume,
    /// Ends the wave: no further instance is taken out of service, and those that are out return.
    #[display("abort")]
    Abort,
}

/// A wave as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// The organisation that it belongs to.
    pub organisation: String,
    /// Its name.
    pub name: String,
    /// Name of its phase.
    pub state: String,
    /// Number of instances that it covers.
    pub total: u32,
    /// Number of instances that have finished maintenance.
    pub done: u32,
    /// Number of instances that are out of service for it.
    pub under_way: u32,
    /// Number of instances that failed before they finished maintenance.
    pub failed: u32,
    /// Seconds until it finishes at the present rate; `None` if there is no progress.
    pub remaining_secs: Option<u64>,
    /// Whether it is estimated to finish after its deadline.
    pub late: bool,
    /// What it waits for, one line each.
    pub stalls: Vec<String>,
}
