//! The figures that a promise can be about.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::report::Report;

/// The figures that a promise can be about; see [`Report`] for what each is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[expect(missing_docs, reason = "each is a field of the report, documented there")]
pub enum Metric {
    Buffer,
    BufferBound,
    Moves,
    MovesBound,
    Parked,
    RolloutSecs,
    RolloutBoundSecs,
    RolloutsDone,
    RolloutsLost,
    EstimateError,
    BudgetBreaches,
    RackBreaches,
    TwoPools,
    Miscounts,
    BelowPromiseSecs,
    RequestWaitP50Ms,
    RequestWaitP99Ms,
    RequestWaitMaxMs,
    RequestsServed,
    RequestsRefused,
    RefusedActs,
    Conflicts,
    JobsRefused,
    JobsRunnable,
    JobsDone,
    JobsMoved,
    UrgentStartP99Ms,
    NormalStartP99Ms,
    BatchStartP99Ms,
    DoubleRuns,
    BurntAttempts,
    StartedAfterCancel,
    AcceleratorsUsed,
    AcceleratorsPacked,
}

impl Metric {
    /// This figure of a report.
    pub fn of(self, report: &Report) -> f64 {
        let rollouts = report.rollouts.iter();
        match self {
            Self::Buffer => report.buffer,
            Self::BufferBound => report.buffer_bound,
            Self::Moves => f64::from(report.moves),
            Self::MovesBound => f64::from(report.moves_bound),
            Self::Parked => f64::from(report.parked),
            Self::RolloutSecs => report.rollout_secs(),
            Self::RolloutBoundSecs => report.rollout_bound_secs(),
            Self::RolloutsDone => rollouts.filter(|rollout| rollout.done).count() as f64,
            Self::RolloutsLost => rollouts.map(|rollout| f64::from(rollout.lost)).sum(),
            Self::EstimateError => {
                rollouts.map(|rollout| rollout.estimate_error).fold(0.0, f64::max)
            }
            Self::BudgetBreaches => report.budget_breaches as f64,
            Self::RackBreaches => report.rack_breaches as f64,
            Self::TwoPools => report.two_pools as f64,
            Self::Miscounts => report.miscounts as f64,
            Self::BelowPromiseSecs => report.below_promise_secs,
            Self::RequestWaitP50Ms => report.request_wait_p50_ms as f64,
            Self::RequestWaitP99Ms => report.request_wait_p99_ms as f64,
            Self::RequestWaitMaxMs => report.request_wait_max_ms as f64,
            Self::RequestsServed => report.requests_served,
            Self::RequestsRefused => report.requests_refused,
            Self::RefusedActs => report.refused_acts as f64,
            Self::Conflicts => report.conflicts as f64,
            Self::JobsRefused => report.jobs_refused as f64,
            Self::JobsRunnable => report.jobs_runnable as f64,
            Self::JobsDone => report.jobs_done as f64,
            Self::JobsMoved => report.jobs_moved as f64,
            Self::UrgentStartP99Ms => report.urgent_start_p99_ms as f64,
            Self::NormalStartP99Ms => report.normal_start_p99_ms as f64,
            Self::BatchStartP99Ms => report.batch_start_p99_ms as f64,
            Self::DoubleRuns => report.double_runs as f64,
            Self::BurntAttempts => report.burnt_attempts as f64,
            Self::StartedAfterCancel => report.started_after_cancel as f64,
            Self::AcceleratorsUsed => report.accelerators_used,
            Self::AcceleratorsPacked => report.accelerators_packed,
        }
    }
}
