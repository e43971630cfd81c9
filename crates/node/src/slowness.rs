//! Tells whether a node is too slow to schedule for all.
//!
//! Answers a machine that is slowed down while its node is in office: everything it does is late,
//! and another node would do better.

use std::time::Duration;

use fleet::time::Time;

/// Time between two beats beyond which one counts as late: four ticks of the planner.
const LATE: Duration = Duration::from_millis(400);

/// Late beats in a row that mean a slow node, rather than a burst.
const MANY: u32 = 3;

/// Time between two departures for slowness, over all nodes: where load is the cause, a change of
/// office does not help.
const REST: Duration = Duration::from_secs(20);

/// Beats of a node in office.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last: Option<Time>,
    late: u32,
}

impl Detector {
    /// Notes a beat; whether the node is slow by now.
    pub fn observe_tick(&mut self, now: Time) -> bool {
        let late = self.last.is_some_and(|last| now.since(last) > LATE);
        self.last = Some(now);
        self.late = if late { self.late + 1 } else { 0 };
        self.late >= MANY
    }
}

/// Whether a node may leave the office for slowness, where the last one did at `last_ms` on the
/// store's clock, which shows `store_ms`.
pub fn may_step_down(last_ms: u64, store_ms: u64) -> bool {
    last_ms == 0 || store_ms.saturating_sub(last_ms) >= REST.as_millis() as u64
}
