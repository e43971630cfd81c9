//! Which tasks of a long-running step are unavailable, and why; logs what ends a run of such a step.

use std::fmt;
use std::time::Duration;

use fleet::time::Time;
use tracing::info;

use super::Core;
use crate::instance;
use crate::job::Job;
use crate::job::Phase;
use crate::job::TaskKey;

/// Age of the newest heartbeat from which a task no longer counts as available: longer than an
/// instance holds a heartbeat back and its successor takes to time out.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Maximum number of unavailable tasks that one log line names.
const MAX_NAMED: usize = 8;

/// Why a task of a long-running step is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum Absence {
    /// No heartbeat of this term shows that it runs.
    #[display("not-running")]
    NotRunning,
    /// This leader has ordered the end of its run, and no later run works at full speed yet.
    #[display("evicted")]
    Evicted,
    /// It runs at this percentage of its full speed.
    #[display("percent-{_0}")]
    Slow(u8),
    /// Its instance does not answer.
    #[display("silent")]
    Silent,
    /// No heartbeat has shown its run for [`MAX_AGE`].
    #[display("stale")]
    Stale,
    /// A previous leader may have sent a call for its machine, which may still take effect.
    #[display("held")]
    Held,
}

/// What ends a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum Cause {
    /// The first call for an operation on its machine.
    #[display("call")]
    Call,
    /// A further call for that operation.
    #[display("repeated-call")]
    RepeatedCall,
    /// Its machine has too many tasks of the step for an operation.
    #[display("evacuate")]
    Evacuate,
    /// The run makes no progress.
    #[display("hang")]
    Hang,
    /// The task is not assigned to the instance on which the run is.
    #[display("stray")]
    Stray,
    /// The leases of its instance have expired.
    #[display("lapse")]
    Lapse,
    /// Another member of its gang has not started.
    #[display("gang")]
    Gang,
}

/// The other tasks of a step that are unavailable: member, reason, and age of what is known in
/// milliseconds.
struct Others(Vec<(u32, Absence, u128)>);

impl fmt::Display for Others {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (member, reason, age_ms)) in self.0.iter().take(MAX_NAMED).enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(f, "{separator}{member}:{reason}:{age_ms}")?;
        }
        Ok(())
    }
}

impl Core {
    /// Why a task of a long-running step is unavailable; None if it is available.
    pub(super) fn absence(&self, now: Time, job: &Job, index: usize) -> Option<Absence> {
        let task = &job.tasks[index];
        let Phase::Running(key) = task.phase else { return Some(Absence::NotRunning) };
        if task.evicted_run.is_some() {
            Some(Absence::Evicted)
        } else if task.percent != 100 {
            Some(Absence::Slow(task.percent))
        } else if self.instance(key).unresponsive_since.is_some() {
            Some(Absence::Silent)
        } else if now.since(task.seen_at) > MAX_AGE {
            Some(Absence::Stale)
        } else if self.is_on_held_machine(now, key) {
            Some(Absence::Held)
        } else {
            None
        }
    }

    /// Logs that the newest run of a task is about to be ended, if it is long-running.
    pub(super) fn log_disruption(&self, now: Time, cause: Cause, key: TaskKey) {
        if let Some(job) = self.jobs.get(&key.job)
            && let Some(instance) = self.instance_of(job.tasks[key.index as usize].phase)
        {
            let run = job.tasks[key.index as usize].run;
            self.log_disrupted_run(now, cause, key, run, &instance.report.id);
        }
    }

    /// Logs that a run of a task is about to be ended, if the task is long-running.
    pub(super) fn log_disrupted_run(
        &self,
        now: Time,
        cause: Cause,
        key: TaskKey,
        run: u32,
        instance: &str,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step = job.step(key.index);
        if !step.long_running || job.state.is_ended() {
            return;
        }
        let name = job.task_name(key.index);
        let members = job.members(name.occurrence, name.step as usize);
        let first = members.start;
        let others = members.filter(|&index| index != key.index as usize).filter_map(|index| {
            let task = &job.tasks[index];
            let absence = self.absence(now, job, index)?;
            Some(((index - first) as u32, absence, now.since(task.seen_at).as_millis()))
        });
        let others = Others(others.collect());
        let task = &job.tasks[key.index as usize];
        info!(
            event = "disrupt",
            cause = %cause,
            task = %name,
            run,
            runner = instance,
            percent = task.percent,
            seen_ms = now.since(task.seen_at).as_millis(),
            limit = step.max_unavailable,
            away = others.0.len(),
            others = %others,
        );
    }

    /// Whether an instance is on a machine for which a previous leader may have sent a call.
    fn is_on_held_machine(&self, now: Time, key: instance::Key) -> bool {
        let host = self.operations.host_by_instance.get(&self.instance(key).report.id);
        host.is_some_and(|host| self.is_held(now, host))
    }
}
