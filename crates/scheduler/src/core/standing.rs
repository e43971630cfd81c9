//! Reports accepted tasks that have been without a run for long, whatever their phase, and what would
//! end the wait.
//!
//! Ready tasks of jobs that are tried in each round are reported by [`super::waiting`].

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Task;
use crate::job::TaskKey;
use crate::job::TaskName;

/// Wait from which a task is reported.
const MIN_WAIT: Duration = Duration::from_secs(2);

/// Interval between two reports.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a task without a run waits in: its phase, or what ails its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Stage {
    /// Its step depends on completed steps only, but was not made ready.
    #[display("waiting")]
    Waiting,
    /// It is ready, but its job is not tried.
    #[display("ready-unscheduled")]
    Unscheduled,
    /// Its placement is not in any write yet.
    #[display("planned")]
    Planned,
    /// The write that holds its placement is in flight.
    #[display("recording")]
    Recording,
    /// Its placement is stored, and its start command was not released.
    #[display("recorded")]
    Recorded,
    /// Its start command was not answered.
    #[display("starting")]
    Starting,
    /// Whether its start command took effect is unknown.
    #[display("unknown")]
    Unknown,
    /// No heartbeat has shown whether the previous leader's run is in progress.
    #[display("inherited")]
    Inherited,
    /// It runs as far as known, on an instance that has not answered for longer than a lease.
    #[display("running-silent")]
    Silent,
    /// Its run was told to stop, and has not ended.
    #[display("running-stopped")]
    Stopped,
    /// It runs as far as known, but its instance has answered for longer than a lease without showing the
    /// run, by the answer to its start command or by a heartbeat.
    #[display("running-unseen")]
    Unseen,
    /// It is assigned to an instance that doesn't book it, so that no heartbeat shows that the run is missing.
    #[display("unbooked")]
    Unbooked,
    /// No task of its job runs, whatever phases they have passed through since one last did.
    #[display("job-idle")]
    Idle,
}

impl Stage {
    /// What would end the wait.
    const fn ends_by(self) -> &'static str {
        match self {
            Self::Waiting => "end-of-step",
            Self::Unscheduled => "change-of-job",
            Self::Planned => "write",
            Self::Recording => "write-answer",
            Self::Recorded => "release",
            Self::Starting => "start-answer",
            Self::Unknown | Self::Inherited | Self::Silent => "heartbeat-or-lapse",
            Self::Stopped => "end-of-run",
            Self::Unseen => "heartbeat",
            Self::Unbooked => "change-of-leader",
            Self::Idle => "start",
        }
    }
}

/// The tasks of one stage that have been without a run for at least two seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Number of tasks; of steps for [`Stage::Waiting`], of jobs for [`Stage::Idle`].
    pub tasks: usize,
    /// Since when the one that has waited longest has been in this stage.
    pub since: Time,
    /// Key of that task.
    pub task: TaskKey,
    /// Its name.
    pub name: TaskName,
    /// The instance to which it is assigned.
    pub instance: Option<instance::Key>,
}

impl Core {
    /// Accepted tasks that have been without a run for at least two seconds, by stage.
    pub fn standing(&self, now: Time) -> BTreeMap<Stage, Standing> {
        let mut standing = BTreeMap::new();
        for id in &self.active {
            let Some(job) = self.jobs.get(id) else { continue };
            let scheduled = self.schedulable.contains(id);
            let mut waits = false;
            for (index, task) in job.tasks.iter().enumerate() {
                waits |= task.phase == Phase::Waiting;
                let key = job.task_key(index as u32);
                if let Some((stage, since)) = self.stage(now, key, task, scheduled) {
                    add(&mut standing, now, stage, since, job, index as u32);
                }
            }
            if let Some((since, index)) = idle_task(job) {
                add(&mut standing, now, Stage::Idle, since.max(self.since), job, index);
            }
            if waits {
                for (since, index) in unopened_steps(now, job) {
                    add(&mut standing, now, Stage::Waiting, since, job, index);
                }
            }
        }
        standing
    }

    /// The stage of a task without a run, and since when it has been in it; None if it runs, is done,
    /// is tried in each round, or waits for its step.
    fn stage(
        &self,
        now: Time,
        task_key: TaskKey,
        task: &Task,
        scheduled: bool,
    ) -> Option<(Stage, Time)> {
        let assigned_to = task.phase.instance();
        if assigned_to.is_some_and(|key| !self.instance(key).tasks.contains(&task_key)) {
            return Some((Stage::Unbooked, task.since));
        }
        let stage = match task.phase {
            Phase::Waiting | Phase::Done => return None,
            Phase::Ready if scheduled => return None,
            Phase::Ready => Stage::Unscheduled,
            Phase::Planned(_) => Stage::Planned,
            Phase::Recording(_) => Stage::Recording,
            Phase::Recorded(_) => Stage::Recorded,
            Phase::Starting(_) => Stage::Starting,
            Phase::Unknown(_) => Stage::Unknown,
            Phase::Inherited(_) => Stage::Inherited,
            Phase::Running(key) => {
                let answered_at = self.instance(key).answered_at;
                if now.since(answered_at) > self.tuning.lease {
                    return Some((Stage::Silent, answered_at));
                }
                let seen_at = task.seen_at.max(task.since);
                // Time in which the instance does not answer does not count.
                if answered_at.since(seen_at) > self.tuning.lease {
                    return Some((Stage::Unseen, seen_at));
                }
                return task.stop_sent_at.map(|_| (Stage::Stopped, task.progressed_at));
            }
        };
        Some((stage, task.since))
    }

    /// Logs the task of each stage that has been in it for longest.
    pub(super) fn log_standing(&mut self, now: Time) {
        if now.since(self.standing_logged_at) < LOG_INTERVAL {
            return;
        }
        self.standing_logged_at = now;
        for (stage, Standing { tasks, since, task, name, instance }) in self.standing(now) {
            let job = &self.jobs[&task.job];
            let state = &job.tasks[task.index as usize];
            let target = instance.map(|key| self.instance(key));
            info!(
                event = "standing",
                phase = %stage,
                ends_by = stage.ends_by(),
                tasks,
                task = %name,
                run = state.run,
                service = job.service,
                waited_ms = now.since(since).as_millis(),
                failures = state.failures,
                seen_ms_ago = (state.seen_at > Time::ZERO).then(|| now.since(state.seen_at).as_millis()),
                stop_ms_ago = state.stop_sent_at.map(|at| now.since(at).as_millis()),
                end_presumed = state.end_presumed,
                crashes = state.suspicion.crashes,
                writing = self.is_in_write(task.job),
                runner = target.map(|it| it.report.id.as_str()),
                born = target.map(|it| it.incarnation),
                placed_born = state.incarnation,
                answered_ms_ago = target.map(|it| now.since(it.answered_at).as_millis()),
                lapses_in_ms = target.map(|it| it.leases_expire_at(&self.tuning).since(now).as_millis()),
                synced = target.map(|it| it.synced),
                listed = target.map(|it| it.listed),
                unresponsive = target.map(|it| it.unresponsive_since.is_some()),
                outcome_unknown = target.map(|it| it.outcome_unknown),
                expiry = target.map(|it| tracing::field::debug(it.expiry)),
            );
        }
    }
}

/// Counts a task that has been in a stage since `since`, if that is long enough.
fn add(
    standing: &mut BTreeMap<Stage, Standing>,
    now: Time,
    stage: Stage,
    since: Time,
    job: &Job,
    index: u32,
) {
    if now.since(since) < MIN_WAIT {
        return;
    }
    let known = standing.get(&stage);
    let tasks = known.map_or(0, |known| known.tasks) + 1;
    if let Some(known) = known
        && known.since <= since
    {
        standing.insert(stage, Standing { tasks, ..*known });
        return;
    }
    let (task, name) = (job.task_key(index), job.task_name(index));
    let instance = job.tasks[index as usize].phase.instance();
    standing.insert(stage, Standing { tasks, since, task, name, instance });
}

/// The first task that is ready or assigned, if no task of the job runs, and since when none has.
fn idle_task(job: &Job) -> Option<(Time, u32)> {
    let runs = |task: &Task| matches!(task.phase, Phase::Running(_));
    if job.tasks.iter().any(runs) {
        return None;
    }
    let due = |task: &Task| !matches!(task.phase, Phase::Waiting | Phase::Done);
    let index = job.tasks.iter().position(due)? as u32;
    let start = job.occurrence_start(job.task_name(index).occurrence);
    Some((start.max(job.ran_at), index))
}

/// Steps of due occurrences that depend on completed steps only but have a task that is not ready: the
/// earliest time since when it may have waited, and its index.
fn unopened_steps(now: Time, job: &Job) -> Vec<(Time, u32)> {
    let mut steps = Vec::new();
    for occurrence in 0..job.spec.occurrences() {
        let start = job.occurrence_start(occurrence);
        if start > now {
            break;
        }
        for (step, specified) in job.spec.steps.iter().enumerate() {
            let mut before = specified.after.iter();
            if before.any(|&earlier| job.unfinished(occurrence, earlier as usize) > 0) {
                continue;
            }
            let mut members = job.members(occurrence, step);
            let waiting = members.find(|&index| job.tasks[index].phase == Phase::Waiting);
            steps.extend(waiting.map(|index| (start.max(job.ran_at), index as u32)));
        }
    }
    steps
}
