//! Detects a leader that is too slow to schedule the jobs of all nodes.
//!
//! Handles a host that is slowed down while its node is the leader: all scheduling is late, and
//! another node would do better.

use std::time::Duration;

use fleet::time::Time;

/// Time between two ticks beyond which the second counts as late: four of the planner's tick
/// intervals.
const LATE_AFTER: Duration = Duration::from_millis(400);

/// Late ticks in a row that mean a slow node, rather than a burst of work.
const MAX_LATE_TICKS: u32 = 3;

/// Minimum time between two step-downs for slowness, over all nodes: where load is the cause, a
/// change of leader does not help.
const STEP_DOWN_INTERVAL: Duration = Duration::from_secs(20);

/// Detects slowness by the lateness of a leader's ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last_tick: Option<Time>,
    late_ticks: u32,
}

impl Detector {
    /// Records a tick at `now`. Returns whether the node counts as slow.
    pub fn observe_tick(&mut self, now: Time) -> bool {
        let late = self.last_tick.is_some_and(|last| now.since(last) > LATE_AFTER);
        self.last_tick = Some(now);
        self.late_ticks = if late { self.late_ticks + 1 } else { 0 };
        self.late_ticks >= MAX_LATE_TICKS
    }
}

/// Whether a leader may step down for slowness.
///
/// Both times are milliseconds on the store's clock: `last_ms` is when a leader last stepped down
/// for slowness (zero if none did), `store_ms` is the present time.
pub fn may_step_down(last_ms: u64, store_ms: u64) -> bool {
    last_ms == 0 || store_ms.saturating_sub(last_ms) >= STEP_DOWN_INTERVAL.as_millis() as u64
}
