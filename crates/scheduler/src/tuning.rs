//! Timeouts, weights and limits of the scheduler. The defaults suit a site of about fifty instances.

use std::time::Duration;

/// Timeouts, weights and limits of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Duration of a lease. An instance stops its runs when its lease expires. A shorter one frees
    /// the tasks of a lost instance sooner, a longer one bridges a change of leader.
    pub lease: Duration,
    /// Longest lease that instances take, from the platform's settings: they shorten a longer one to it.
    pub max_lease: Duration,
    /// How long a leader may renew leases after the last write that confirmed its leadership. The
    /// next leader waits for the sum of this and `lease` before it gives up runs on instances that
    /// it can't reach.
    pub leader_lease: Duration,
    /// How much slower than the scheduler's clock an instance's clock may run, as a fraction.
    pub clock_drift: f64,
    /// Time without an answer after which nothing new is placed on an instance: two missed
    /// heartbeats. No decision reads it at present.
    pub unresponsive_after: Duration,
    /// Number of jobs failing in a row that gets an instance suspended.
    pub max_failures: u32,
    /// Duration of the first suspension; doubles with each further one. A suspended instance gets
    /// no tasks, and is on probation afterwards for as long, or until a run succeeds.
    pub probation: Duration,
    /// Time after a failure of a job in which it tries no instance that is readmitted although it is
    /// suspended.
    pub readmission_delay: Duration,
    /// Time without progress after which a run counts as hung.
    pub stall_timeout: Duration,
    /// Multiple of its expected time that a run may take before its instance counts as slow. No
    /// decision reads it at present.
    pub slow_factor: f64,
    /// Maximum backlog of a pool, as the time that it takes to work it off; a pool with a larger
    /// one rejects new jobs.
    pub max_backlog: Duration,
    /// Maximum time until a new job is stored, while more jobs change than one write holds; new jobs
    /// are rejected beyond it. Callers wait for their answer as long.
    pub max_store_wait: Duration,
    /// Duration of a machine's move, from the platform's settings.
    pub move_time: Duration,
    /// Duration of a machine's maintenance, from the platform's settings.
    pub maintenance_time: Duration,
    /// Minimum time between calls by different leaders for the same machine, from the platform's
    /// settings.
    pub operation_gap: Duration,
    /// Factor by which a task takes longer away from its data, from the platform's settings. No
    /// decision reads it at present.
    pub remote_factor: f64,
    /// Time for which a machine stays idle before it moves to the standby pool: in that time,
    /// running it costs twice as much as a move to the standby pool and back.
    pub idle_timeout: Duration,
    /// Window over which the demand on a pool is averaged.
    pub demand_window: Duration,
    /// Time for which ended jobs can still be queried, from the platform's settings.
    pub retention: Duration,
    /// Time by which occurrences may start early, from the platform's settings; not used.
    pub early_start: Duration,
    /// Minimum time between two steps that raise the speed of a throttled task: a fraction of the
    /// time for which a latency target may be exceeded, from the platform's settings.
    pub unthrottle_interval: Duration,
    /// Longest value of a row, in bytes; from the platform's settings.
    pub max_row_bytes: usize,
    /// Whether tasks that slow each other down are kept apart where there is room.
    pub separate_images: bool,
    /// Memory that jobs may take up, in bytes, those included that have ended and can still be queried; new
    /// jobs are rejected beyond it. From the platform's settings.
    pub max_job_memory: usize,
    /// Age of the instance list from which nothing starts on instances without an admission check,
    /// which may have shrunk since; from the platform's settings.
    pub max_list_age: Duration,
}

impl Tuning {
    /// Longest time that a lease lasts on an instance with a slow clock.
    pub fn max_usual_lease(&self) -> Duration {
        self.lease.div_f64(1.0 - self.clock_drift)
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(5_000),
            max_lease: Duration::from_millis(10_000),
            leader_lease: Duration::from_millis(7_000),
            clock_drift: 0.02,
            unresponsive_after: Duration::from_millis(1_500),
            max_failures: 2,
            probation: Duration::from_millis(3_000),
            readmission_delay: Duration::from_millis(2_000),
            stall_timeout: Duration::from_millis(1_500),
            slow_factor: 2.5,
            max_backlog: Duration::from_millis(8_000),
            max_store_wait: Duration::from_millis(500),
            move_time: Duration::from_millis(1_500),
            maintenance_time: Duration::from_millis(2_000),
            operation_gap: Duration::from_millis(3_000),
            remote_factor: 3.0,
            idle_timeout: Duration::from_millis(2_500),
            demand_window: Duration::from_millis(1_000),
            retention: Duration::from_secs(120),
            early_start: Duration::ZERO,
            unthrottle_interval: Duration::from_millis(1_000),
            max_row_bytes: 48 << 10,
            separate_images: false,
            max_job_memory: usize::MAX,
            max_list_age: Duration::from_millis(3_000),
        }
    }
}
