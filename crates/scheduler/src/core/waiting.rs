//! Reports tasks that have been ready for long, and why they are not placed.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use super::choice::Obstacle;
use super::rank::Class;
use crate::job::Id;
use crate::job::Job;
use crate::job::Phase;

/// Wait of a ready task from which it is logged.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// Interval between two log lines of a pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why no task of a job is placed, whatever its pool's instances can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum Gate {
    /// Its tasks are tried on the pool's instances.
    #[display("none")]
    None,
    /// The previous leader may have started its tasks, on instances that have not been read yet.
    #[display("unknown-starts")]
    UnknownStarts,
    /// The limit on starts under way is reached.
    #[display("start-limit")]
    StartLimit,
    /// More jobs have changed than the next write holds.
    #[display("writes")]
    Writes,
}

/// The tasks of a pool that have been ready for over [`MIN_WAIT`].
#[derive(Clone, Copy, Debug)]
struct Backlog {
    jobs: usize,
    tasks: usize,
    /// The task that has waited longest.
    oldest: (Time, Id, u32),
}

impl Core {
    /// Logs, for each pool in which tasks wait, the one that has been ready for longest: what keeps
    /// its job from being placed, and how many of the pool's instances can't take it for which
    /// reason. `open` counts those that could.
    pub(super) fn log_waiting(&mut self, now: Time) {
        if now.since(self.waiting_logged_at) < LOG_INTERVAL {
            return;
        }
        self.waiting_logged_at = now;
        let backlogs = self.backlogs(now);
        let oldest = backlogs.values().map(|backlog| backlog.oldest.0).min();
        self.longest_wait = oldest.map_or(Duration::ZERO, |since| now.since(since));
        for (service, backlog) in backlogs {
            let (since, id, index) = backlog.oldest;
            let job = &self.jobs[&id];
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
                jobs = backlog.jobs,
                tasks = backlog.tasks,
                task = %job.task_name(index),
                run = job.tasks[index as usize].run,
                waited_ms = now.since(since).as_millis(),
                gate = %self.gate(now, job),
                open,
                closed = closed.join(","),
            );
        }
    }

    /// Time for which the task that has waited longest has been ready, at the last look; zero if
    /// none has waited for a second.
    pub const fn longest_wait(&self) -> Duration {
        self.longest_wait
    }

    /// Number of listed instances that are suspended or on probation, at the last tick.
    pub fn suspended_instances(&self) -> usize {
        self.demand.values().map(|pool| pool.suspended + pool.on_probation).sum()
    }

    /// Tasks that have been ready for over [`MIN_WAIT`], by service.
    fn backlogs(&self, now: Time) -> BTreeMap<String, Backlog> {
        let mut backlogs: BTreeMap<String, Backlog> = BTreeMap::new();
        for id in &self.schedulable {
            let Some(job) = self.jobs.get(id) else { continue };
            let waits = job.tasks.iter().enumerate().filter(|(_, task)| {
                task.phase == Phase::Ready && now.since(task.since) >= MIN_WAIT
            });
            let waits: Vec<(Time, u32)> =
                waits.map(|(index, task)| (task.since, index as u32)).collect();
            let Some(&(since, index)) = waits.iter().min() else { continue };
            let oldest = (since, *id, index);
            let backlog = backlogs.entry(job.service.clone()).or_insert(Backlog {
                jobs: 0,
                tasks: 0,
                oldest,
            });
            backlog.jobs += 1;
            backlog.tasks += waits.len();
            backlog.oldest = backlog.oldest.min(oldest);
        }
        backlogs
    }

    /// What keeps a job's tasks from being tried.
    fn gate(&self, now: Time, job: &Job) -> Gate {
        if !self.knows_all_starts(now, job) {
            return Gate::UnknownStarts;
        }
        if self.start_limit.holds_back(now) {
            return Gate::StartLimit;
        }
        let writes_lag = self.writes_lag() && !self.starts_unrecorded(now);
        let waits_for_writes =
            self.rank(now, job).is_some_and(|rank| rank.class > Class::LongRunning);
        if writes_lag && waits_for_writes { Gate::Writes } else { Gate::None }
    }
}
