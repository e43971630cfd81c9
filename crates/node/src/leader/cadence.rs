//! How often instances are asked for the ends of their runs.

use std::time::Duration;

use scheduler::Core;

/// Minimum time between two heartbeats of one instance, so that one returns more than one ended
/// run.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Processor time that a heartbeat takes on a whole core.
const HEARTBEAT_COST: Duration = Duration::from_micros(45);

/// Part of the processor that heartbeats may take up.
const PROCESSOR_SHARE: f64 = 0.25;

/// Smallest share of a core that is reckoned with.
const MIN_CPU_SHARE: f64 = 0.01;

/// The part of a lease that may pass between two heartbeats.
const LEASE_SHARE: u32 = 4;

/// Minimum time between two heartbeats of one instance by a leader that may use `cpu_share` of a
/// core.
pub(super) fn min_interval(core: &Core, cpu_share: f64) -> Duration {
    interval(core.busy_instances(), cpu_share, core.pressure(), core.tuning().lease)
}

/// Minimum time between two heartbeats of one instance while `busy` instances run tasks: longer the
/// smaller the share of a core is that the leader may use, and the more it lags behind its work
/// (`pressure`, 1 if it does not), but short enough to renew a `lease` in time.
///
/// An instance reports an end only in answer to a heartbeat, and the next step of a job waits for the
/// last end of the one before. So heartbeats are as frequent as the leader can afford.
pub fn interval(busy: usize, cpu_share: f64, pressure: f64, lease: Duration) -> Duration {
    let affordable = PROCESSOR_SHARE * cpu_share.max(MIN_CPU_SHARE);
    let interval = MIN_INTERVAL.max(HEARTBEAT_COST.mul_f64(busy as f64 / affordable));
    interval.mul_f64(pressure.max(1.0)).min(lease / LEASE_SHARE)
}
