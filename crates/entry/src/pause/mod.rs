//! Notices that the process was not running for a while.

use std::time::Duration;

use fleet::time::Time;

/// A gap from one look at the clock to the next that tells of a pause.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// How long requests wait for a newer view after a pause, at most.
const MAX_REFRESH_WAIT: Duration = Duration::from_millis(500);

/// Notices that the process was not running for a while: what it knows may be out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Detector {
    last_check: Time,
    waiting_since: Option<Time>,
}

impl Detector {
    /// A watch that starts now.
    pub fn new(now: Time) -> Self {
        Self { last_check: now, waiting_since: None }
    }

    /// Looks at the clock. Returns whether a pause has just been noticed: a refresh is due.
    pub fn check(&mut self, now: Time) -> bool {
        let paused = now.since(self.last_check) > MIN_PAUSE;
        self.last_check = self.last_check.max(now);
        if paused {
            self.waiting_since = Some(now);
        }
        paused
    }

    /// A newer view is here.
    pub fn refreshed(&mut self) {
        self.waiting_since = None;
    }

    /// Whether nothing should be sent yet. The attempt to refresh is bounded: an entry that is cut
    /// off goes on with what it knows.
    pub fn is_stale(&mut self, now: Time) -> bool {
        if self.waiting_since.is_some_and(|since| now.since(since) > MAX_REFRESH_WAIT) {
            self.waiting_since = None;
        }
        self.waiting_since.is_some()
    }
}
