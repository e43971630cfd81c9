//! Decides in which order jobs are placed.

use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::demand::Estimator;
use super::scaled;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Task;

/// Minimum slack that a job needs to count as able to be on time, as a share of its critical path.
const MIN_SLACK_SHARE: f64 = 0.1;

/// Maximum slack that a job needs, as a share of the time allowed beyond its critical path: a job
/// counts as able to be on time at first, however long jobs take.
const MAX_SLACK_SHARE: f64 = 0.5;

/// Time for which a job may have nothing running while starts are limited, before it precedes others
/// with one task.
const MAX_STARVATION: Duration = Duration::from_millis(2_200);

/// Maximum lateness of a job that is still of use, as a multiple of the time allowed for it:
/// callers give up at about that time.
const LATE_FACTOR: u32 = 2;

/// Order in which jobs are placed, lowest first: by turn, starved jobs by the time for which nothing of
/// them has run, others by class, priority of the queue, borrowing, and latest start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) turn: Turn,
    /// When something of a starved job last ran; zero for others.
    starved_since: Time,
    pub(super) class: Class,
    priority: u32,
    /// How much its tenant borrows from the shares of others.
    borrowing: u32,
    /// Latest start with which the job can be on time.
    pub(super) latest_start: Time,
    pub(super) id: Id,
}

impl Rank {
    /// The rank of a starved job that has to wait like others.
    pub(super) const fn without_turn(self) -> Self {
        Self { turn: Turn::Other, starved_since: Time::ZERO, ..self }
    }
}

/// Whose turn it is while starts are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Turn {
    /// The job is long-running. Such jobs are few, and their tasks seldom start.
    LongRunning,
    /// Nothing of the job has run for long, since starts are limited or it has a suspect: one of its
    /// tasks is placed.
    Starved,
    /// The job is long-running, and most of its tasks end early: they must not take the starts of
    /// others.
    Hopeless,
    Other,
}

/// How useful finishing a job can still be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// It is long-running: any time in which it does not run is downtime.
    LongRunning,
    /// It can be on time.
    OnTime,
    /// It can only be late, but is still of use.
    Late,
    /// It is beyond the rate of its tenant, and can be on time.
    BeyondRate,
    /// It is beyond the rate of its tenant, and can only be late.
    LateBeyondRate,
    /// It is too late to be of use, but has to finish.
    Overdue,
}

impl Core {
    /// The rank of a job; None if it has no ready task.
    ///
    /// Handles a pool with more work than capacity: jobs that can't be on time yield to those that
    /// can, and jobs beyond the rate of their tenant to those that others are still owed.
    pub(super) fn rank(&self, now: Time, job: &Job) -> Option<Rank> {
        let ready = job.tasks.iter().position(|task| task.phase == Phase::Ready)?;
        let name = job.task_name(ready as u32);
        let critical_path = self.critical_path_from(job, name.step as usize);
        let start = job.occurrence_start(name.occurrence);
        let allowed = job.deadline.since(job.first_start);
        let latest_start = start + allowed - critical_path;
        let whole = || self.critical_path(job);
        let latest_start =
            latest_start - self.required_slack(now, job, critical_path, whole, allowed);
        let is_ready = |task: &&Task| task.phase == Phase::Ready;
        let count_ready = || job.tasks[ready..].iter().filter(is_ready).count();
        let latest_start = latest_start - self.start_limit.start_time(now, count_ready);
        let class = if job.spec.is_long_running() {
            Class::LongRunning
        } else if latest_start + allowed * LATE_FACTOR < now {
            Class::Overdue
        } else {
            match (latest_start >= now, job.beyond_rate) {
                (true, false) => Class::OnTime,
                (false, false) => Class::Late,
                (true, true) => Class::BeyondRate,
                (false, true) => Class::LateBeyondRate,
            }
        };
        let priority = job.terms(&self.config).priority;
        let turn = if job.spec.is_long_running() {
            if is_hopeless(now, job) { Turn::Hopeless } else { Turn::LongRunning }
        } else if self.is_starved(now, job) || has_starved_suspect(now, job) {
            Turn::Starved
        } else {
            Turn::Other
        };
        let starved_since = if turn == Turn::Starved { job.ran_at } else { Time::ZERO };
        let borrowing = self.shares.borrowing(job);
        Some(Rank { turn, starved_since, class, priority, borrowing, latest_start, id: job.id })
    }

    /// A rank that has been computed earlier in the round, with what its tenant borrows by now.
    pub(super) fn current_rank(&self, rank: Rank) -> Rank {
        if rank.turn != Turn::Other || self.shares.is_empty() {
            return rank;
        }
        Rank { borrowing: self.shares.borrowing(&self.jobs[&rank.id]), ..rank }
    }

    /// Whether nothing of a job has run for long because starts are limited.
    ///
    /// Handles a leader that starts fewer tasks than become ready: late jobs yield to those that can
    /// be on time, but each accepted job has to go on.
    fn is_starved(&self, now: Time, job: &Job) -> bool {
        if !self.start_limit.holds_back(now) {
            return false;
        }
        let is_ready = |task: &Task| task.phase == Phase::Ready;
        let assigned = |task: &Task| task.phase.instance().is_some();
        now.since(job.ran_at) >= MAX_STARVATION
            && job.tasks.iter().any(is_ready)
            && !job.tasks.iter().any(assigned)
    }

    /// Slack that a job needs to count as able to be on time, from a step with this critical path on;
    /// `whole` returns that of the whole job. While this leader can't keep up, the slack is what jobs of
    /// the queue take beyond their critical paths.
    ///
    /// Handles a leader with more work than it can do: commands, reports of ends and writes take long,
    /// and a job that ends just too late would keep others from being on time.
    pub(super) fn required_slack(
        &self,
        now: Time,
        job: &Job,
        critical_path: Duration,
        whole: impl FnOnce() -> Duration,
        allowed: Duration,
    ) -> Duration {
        let least = critical_path.mul_f64(MIN_SLACK_SHARE);
        if self.start_limit.rate(now).is_none() {
            return least;
        }
        let learnt = self.estimators.get(&job.queue).map_or(0.0, Estimator::overhead);
        let most = allowed.saturating_sub(whole()).mul_f64(MAX_SLACK_SHARE);
        scaled(critical_path, learnt).min(most).max(least)
    }
}

/// Whether nothing of a job has run for long because a suspect waits for an instance of its own.
///
/// Handles more suspects than instances that may take them: those of late jobs must not wait for ever.
fn has_starved_suspect(now: Time, job: &Job) -> bool {
    let suspect = |task: &Task| task.phase == Phase::Ready && task.is_suspect();
    now.since(job.ran_at) >= MAX_STARVATION
        && job.tasks.iter().any(suspect)
        && !job.tasks.iter().any(|task| task.phase.instance().is_some())
}

/// Whether at least half of a long-running job's tasks are ready, and the last runs of half of those
/// that are due ended early.
fn is_hopeless(now: Time, job: &Job) -> bool {
    let ready = job.tasks.iter().filter(|task| task.phase == Phase::Ready);
    let due = ready.clone().filter(|task| task.restart.is_due(now));
    let ended_early = due.clone().filter(|task| task.restart.has_ended_early()).count();
    ready.count() * 2 >= job.tasks.len() && ended_early > 0 && ended_early * 2 >= due.count()
}
