//! What goes wrong with a worker.

/// What goes wrong with a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every task fails, and soon.
    pub fails_all: bool,
    /// What tasks are reported to use, hundredths of what they do; 0 for the truth.
    pub lies_percent: u32,
    /// How old the usage in reports is, milliseconds.
    pub lag_ms: u32,
    /// Does what it is told, but the answer gets lost.
    pub loses_replies: bool,
    /// Attempts go on after the lease has lapsed.
    pub outlives_lease: bool,
    /// The process stands still: it answers nothing and runs nothing.
    pub paused: bool,
    /// Does not throttle when told to.
    pub ignores_throttles: bool,
    /// Does not write checkpoints when told to.
    pub ignores_checkpoints: bool,
}
