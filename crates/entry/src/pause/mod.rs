//! Detects that the process was suspended.

use std::time::Duration;

use fleet::time::Time;

/// Time between two checks of the clock that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Maximum time that requests wait for a newer view after a pause.
const MAX_REFRESH_WAIT: Duration = Duration::from_millis(500);

/// Detects that the process was suspended, after which its view of the fleet may be out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Detector {
    last_check: Time,
    waiting_since: Option<Time>,
}

impl Detector {
    /// A detector whose first check was at `now`.
    pub fn new(now: Time) -> Self {
        Self { last_check: now, waiting_since: None }
    }

    /// Records a check of the clock. Returns whether it revealed a pause, so that a newer view has
    /// to be requested.
    pub fn check(&mut self, now: Time) -> bool {
        let paused = now.since(self.last_check) > MIN_PAUSE;
        self.last_check = self.last_check.max(now);
        if paused {
            self.waiting_since = Some(now);
        }
        paused
    }

    /// Records that a newer view was applied.
    pub fn record_refresh(&mut self) {
        self.waiting_since = None;
    }

    /// Whether requests should still wait for a newer view. This ends after a bounded time, so that
    /// an entry that is partitioned from its peers goes on with the view it has.
    pub fn is_stale(&mut self, now: Time) -> bool {
        if self.waiting_since.is_some_and(|since| now.since(since) > MAX_REFRESH_WAIT) {
            self.waiting_since = None;
        }
        self.waiting_since.is_some()
    }
}
