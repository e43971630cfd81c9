//! When a long-running task whose runs have ended by themselves may start again.

use std::time::Duration;

use fleet::time::Time;

/// A run that worked for less has ended early.
const MIN_RUN_TIME: Duration = Duration::from_secs(2);

/// Delay after the second early end in a row; doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay: a task whose cause of failure is gone has to run again soon.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Back-off between the runs of a long-running task.
///
/// Handles tasks that fail as soon as they start, which would otherwise take up the starts of their
/// leader and run through all instances of their pool. Valid for one term: after a change of leader
/// the task may start at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restart {
    /// Number of runs in a row that ended early.
    early_ends: u32,
    /// When the task may start again.
    due: Time,
}

impl Restart {
    /// Records that a run that began at `began` has ended by itself at `now`.
    pub fn record_end(&mut self, now: Time, began: Time) {
        self.early_ends =
            if now.since(began) < MIN_RUN_TIME { self.early_ends.saturating_add(1) } else { 0 };
        self.due = now + self.delay();
    }

    /// Delay after the last end.
    fn delay(&self) -> Duration {
        match self.early_ends {
            0 | 1 => Duration::ZERO,
            ends => FIRST_DELAY.saturating_mul(1 << (ends - 2).min(16)).min(MAX_DELAY),
        }
    }

    /// Whether the last run ended early.
    pub const fn has_ended_early(&self) -> bool {
        self.early_ends > 0
    }

    /// Whether the task may start.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.due
    }
}
