//! Weights and limits of the scheduler; defaults suit a site of some fifty instances.

use std::time::Duration;

/// Weights and limits of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// How long an instance may go on running without a new grant: shorter frees the tasks of a
    /// lost instance sooner, longer outlives a change of scheduler.
    pub lease: Duration,
    /// How long a scheduler may grant without a write that proved it still is the one; with
    /// `grant`, what a successor waits out for instances that it can't reach.
    pub leader_lease: Duration,
    /// How much slower than ours an instance's clock may run, as a fraction.
    pub clock_drift: f64,
    /// Silence of an instance after which nothing new is placed there: two missed looks.
    pub unresponsive_after: Duration,
    /// Failed runs in a row after which an instance is put on probation.
    pub max_failures: u32,
    /// First probation; doubles with each one after it.
    pub probation: Duration,
    /// Work without progress after which a run is taken to hang.
    pub stall_timeout: Duration,
    /// How many times its expected time a run may take before its instance counts as slow.
    pub slow_factor: f64,
    /// Seconds of work a pool may owe before new jobs are turned away.
    pub max_backlog: Duration,
    /// How long a move of a machine takes, from the platform's settings.
    pub move_time: Duration,
    /// How long the maintenance of a machine takes, from the platform's settings.
    pub maintenance_time: Duration,
    /// Time between two holders' calls for one machine, from the platform's settings.
    pub operation_gap: Duration,
    /// Pace of a task away from its data, as a factor on its time, from the platform's settings.
    pub remote_factor: f64,
    /// Idle time of a machine before it goes to the standby pool: twice what a move there and back
    /// costs at the price of a running machine.
    pub idle_timeout: Duration,
    /// Longest time over which the demand of a queue is averaged.
    pub demand_window: Duration,
    /// Time for which finished jobs can be asked about, from the platform's settings.
    pub retention: Duration,
    /// Time by which occurrences may start early, from the platform's settings; we use none of it.
    pub early_start: Duration,
    /// Breach of a serving task's target after which its neighbours are paced, a fraction of what
    /// the platform's settings allow.
    pub throttle_after: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(5_000),
            leader_lease: Duration::from_millis(7_000),
            clock_drift: 0.02,
            unresponsive_after: Duration::from_millis(1_500),
            max_failures: 2,
            probation: Duration::from_millis(3_000),
            stall_timeout: Duration::from_millis(1_500),
            slow_factor: 2.5,
            max_backlog: Duration::from_millis(8_000),
            move_time: Duration::from_millis(1_500),
            maintenance_time: Duration::from_millis(2_000),
            operation_gap: Duration::from_millis(3_000),
            remote_factor: 3.0,
            idle_timeout: Duration::from_millis(2_500),
            demand_window: Duration::from_millis(1_000),
            retention: Duration::from_secs(120),
            early_start: Duration::ZERO,
            throttle_after: Duration::from_millis(1_000),
        }
    }
}
