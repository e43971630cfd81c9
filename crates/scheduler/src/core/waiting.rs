//! Reports tasks that have been ready for long, and why they are not placed.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::choice::Obstacle;
use super::rank::Rank;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;

/// Wait of a ready task from which it is logged.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// Interval between two log lines of a pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the task that has waited longest has been ready; zero if none has waited for
/// [`MIN_WAIT`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Among long-running tasks.
    pub long_running: Duration,
    /// Among tasks that end by themselves.
    pub short: Duration,
}

/// Why no task of a job is placed, whatever its pool's instances can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum Gate {
    /// Its tasks are tried on the pool's instances.
    #[display("none")]
    None,
    /// Its last runs ended early, and it may not start again yet.
    #[display("back-off")]
    BackOff,
    /// The previous leader may have started its tasks, on instances that have not been read yet.
    #[display("unknown-starts")]
    UnknownStarts,
    /// The limit on starts under way is reached.
    #[display("start-limit")]
    StartLimit,
    /// More jobs have changed than the next write holds.
    #[display("writes")]
    Writes,
    /// The tenant of its job may not use more at once.
    #[display("quota")]
    Quota,
}

/// What kept a round of placement from trying some jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RoundEnd {
    /// The limit on starts under way: jobs from this rank on were not tried; None if no job was.
    StartLimit(Option<Rank>),
    /// More jobs have changed than the next write holds: no short job was tried.
    Writes,
}

/// Whether tasks end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
enum Kind {
    /// They run until their job is cancelled.
    #[display("long-running")]
    LongRunning,
    /// They end by themselves.
    #[display("short")]
    Short,
}

impl Kind {
    fn of(job: &Job) -> Self {
        if job.spec.is_long_running() { Self::LongRunning } else { Self::Short }
    }
}

/// The tasks of a pool and kind that have been ready for over [`MIN_WAIT`].
#[derive(Clone, Copy, Debug)]
struct Backlog {
    jobs: usize,
    tasks: usize,
    /// The task that has waited longest.
    oldest: (Time, Id, u32),
}

impl Core {
    /// Logs, for each pool in which tasks wait, the one of each kind that has been ready for longest:
    /// what keeps its job from being placed, and how many of the pool's instances can't take it for
    /// which reason. `open` counts those that could.
    pub(super) fn log_waiting(&mut self, now: Time) {
        if now.since(self.waiting_logged_at) < LOG_INTERVAL {
            return;
        }
        self.waiting_logged_at = now;
        let backlogs = self.backlogs(now);
        for (kind, longest) in [
            (Kind::LongRunning, &mut self.longest_waits.long_running),
            (Kind::Short, &mut self.longest_waits.short),
        ] {
            let waits = backlogs.iter().filter(|((_, other), _)| *other == kind);
            let oldest = waits.map(|(_, backlog)| backlog.oldest.0).min();
            *longest = oldest.map_or(Duration::ZERO, |since| now.since(since));
        }
        let ready = self.schedulable.iter().filter_map(|id| self.jobs.get(id));
        let mut ranks: Vec<Rank> = match backlogs.is_empty() {
            true => Vec::new(),
            false => ready.filter_map(|job| self.rank(now, job)).collect(),
        };
        ranks.sort_unstable();
        for ((service, kind), backlog) in backlogs {
            let (since, id, index) = backlog.oldest;
            let job = &self.jobs[&id];
            let ahead = ranks.iter().take_while(|rank| rank.id != id).count();
            let instances = self.pools.get(&service).into_iter().flatten();
            let mut open = 0;
            let mut obstacles: BTreeMap<Obstacle, usize> = BTreeMap::new();
            for &key in instances {
                match self.obstacle(now, job, index, key) {
                    Some(obstacle) => *obstacles.entry(obstacle).or_default() += 1,
                    None => open += 1,
                }
            }
            let closed: Vec<String> =
                obstacles.iter().map(|(obstacle, count)| format!("{obstacle}:{count}")).collect();
            info!(
                event = "waiting",
                service,
                kind = %kind,
                jobs = backlog.jobs,
                tasks = backlog.tasks,
                task = %job.task_name(index),
                run = job.tasks[index as usize].run,
                waited_ms = now.since(since).as_millis(),
                gate = %self.gate(now, job, index, ranks.get(ahead)),
                ahead,
                open,
                closed = closed.join(","),
            );
        }
    }

    /// Time for which the task that has waited longest has been ready, at the last look; zero if
    /// none has waited for a second.
    pub fn longest_wait(&self) -> Duration {
        self.longest_waits.long_running.max(self.longest_waits.short)
    }

    /// Time for which the task of each kind that has waited longest has been ready, at the last
    /// look.
    pub const fn longest_waits(&self) -> Waits {
        self.longest_waits
    }

    /// Number of listed instances that are suspended or on probation, at the last tick.
    pub fn suspended_instances(&self) -> usize {
        self.demand.values().map(|pool| pool.suspended + pool.on_probation).sum()
    }

    /// Tasks that have been ready for over [`MIN_WAIT`], by service and kind.
    fn backlogs(&self, now: Time) -> BTreeMap<(String, Kind), Backlog> {
        let mut backlogs: BTreeMap<(String, Kind), Backlog> = BTreeMap::new();
        for id in &self.schedulable {
            let Some(job) = self.jobs.get(id) else { continue };
            let waits = job.tasks.iter().enumerate().filter(|(_, task)| {
                task.phase == Phase::Ready && now.since(task.since) >= MIN_WAIT
            });
            let waits = waits.map(|(index, task)| (task.since, index as u32));
            let mut tasks = 0;
            let Some((since, index)) = waits.inspect(|_| tasks += 1).min() else { continue };
            let oldest = (since, *id, index);
            let key = (job.service.clone(), Kind::of(job));
            let backlog = backlogs.entry(key).or_insert(Backlog { jobs: 0, tasks: 0, oldest });
            backlog.jobs += 1;
            backlog.tasks += tasks;
            backlog.oldest = backlog.oldest.min(oldest);
        }
        backlogs
    }

    /// What kept a task of a job of this rank from being tried in the last round.
    fn gate(&self, now: Time, job: &Job, index: u32, rank: Option<&Rank>) -> Gate {
        if !job.tasks[index as usize].restart.is_due(now) {
            return Gate::BackOff;
        }
        if !job.knows_starts(index) && !self.knows_all_starts(now, job) {
            return Gate::UnknownStarts;
        }
        let is_untried = |first: Option<Rank>| rank.is_some_and(|rank| Some(*rank) >= first);
        match self.round_end {
            Some(RoundEnd::StartLimit(first)) if is_untried(first) => Gate::StartLimit,
            Some(RoundEnd::Writes) if !job.spec.is_long_running() => Gate::Writes,
            _ if self.is_held_back(now, job) => Gate::Quota,
            _ => Gate::None,
        }
    }
}
