//! How sure a node can be that its configuration is the newest.

use std::time::Duration;

use fleet::time::Time;

/// For how long a configuration may be relied on without confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time within which a new version has to be in force. A configuration that was confirmed within it counts as the
    /// newest.
    pub apply: Duration,
    /// Time within which a withdrawn key has to be out of use. An attempt to confirm the configuration counts for as
    /// long.
    pub revoke: Duration,
    /// Whether [`Self::revoke`] also binds nodes that nothing confirms the configuration to.
    pub strict: bool,
}

/// Whether a configuration can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It was the newest version a short while ago.
    Current,
    /// It was the newest when it was last confirmed; since then the store was asked without success.
    Isolated,
    /// Not known: a newer version has been heard of, nothing was asked lately, as after a pause of the process, or nothing
    /// has confirmed it since the process was started.
    Unsure,
}

/// What is known of the configuration's age.
///
/// Handles a process that goes on after a pause or has just started: its configuration may be older than a key that was
/// withdrawn, although the process has noticed no failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// The latest time at which the configuration is known to have been the newest.
    confirmed: Option<Time>,
    /// When the latest attempt that failed was begun.
    failed: Option<Time>,
}

impl Confirmation {
    /// Records that the configuration was the newest at some time after `asked`.
    pub fn confirm(&mut self, asked: Time) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Records that an attempt to confirm the configuration, begun at `asked`, has failed.
    pub fn fail(&mut self, asked: Time) {
        self.failed = self.failed.max(Some(asked));
    }

    /// When the configuration is last known to have been the newest.
    pub const fn confirmed(&self) -> Option<Time> {
        self.confirmed
    }

    /// Whether neither an answer nor a failure is known of the last attempts to confirm the configuration, as after a
    /// pause of the process: the next attempt will tell.
    pub fn is_pending(&self, now: Time, bounds: Bounds) -> bool {
        !within(self.confirmed, now, bounds.apply.min(bounds.revoke))
            && !within(self.failed, now, bounds.revoke)
    }

    /// Whether the configuration can be relied on at `now`. `behind`: a newer version is known to exist.
    pub fn freshness(&self, now: Time, bounds: Bounds, behind: bool) -> Freshness {
        if behind || self.confirmed.is_none() {
            Freshness::Unsure
        } else if within(self.confirmed, now, bounds.apply.min(bounds.revoke)) {
            Freshness::Current
        } else if within(self.failed, now, bounds.revoke) {
            Freshness::Isolated
        } else {
            Freshness::Unsure
        }
    }
}

fn within(at: Option<Time>, now: Time, bound: Duration) -> bool {
    at.is_some_and(|at| now.since(at) <= bound)
}
