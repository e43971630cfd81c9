//! Acts on maintenance waves.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// What an operator wants of a wave.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveCommand {
    /// Begin.
    #[display("start")]
    Start,
    /// Begin no new instance.
    #[display("pause")]
    Pause,
    /// Go on after a pause.
    #[display("resume")]
    Resume,
    /// Begin no new instance for good; those under way are brought back.
    #[display("abort")]
    Abort,
}

/// A wave, as an operator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// The organisation that has it.
    pub organisation: String,
    /// Its name.
    pub name: String,
    /// How it stands, in a word.
    pub state: String,
    /// Instances it covers.
    pub total: u32,
    /// Instances that are done.
    pub done: u32,
    /// Instances that are under way.
    pub under_way: u32,
    /// Instances that failed before they were done.
    pub failed: u32,
    /// Seconds until it is done at the present pace, if it moves.
    pub remaining_secs: Option<u64>,
    /// Whether that is after its deadline.
    pub late: bool,
    /// What it waits for, one a line.
    pub stalls: Vec<String>,
}
