//! A simulated worker in virtual time, which follows the worker's protocol except for injected
//! faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::config::Size;
use fleet::fact;
use fleet::fact::Phase;
use fleet::job::Command;
use fleet::time::Time;

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Faults {
    /// Every task fails, after a hundredth of its run time.
    pub(crate) fails_all: bool,
    /// Tasks keep running after the lease has expired.
    pub(crate) outlives_lease: bool,
    /// It ignores checkpoint commands.
    pub(crate) ignores_checkpoints: bool,
    /// It ignores throttle commands.
    pub(crate) ignores_throttles: bool,
    /// It can't be reached.
    pub(crate) unreachable: bool,
    /// Its process is paused.
    pub(crate) paused: bool,
    /// It sends reports but receives neither commands nor lease renewals.
    pub(crate) drops_commands: bool,
}

/// Actual behaviour of a task, which may differ from its declaration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Task {
    pub(crate) runs: Duration,
    pub(crate) usage: Size,
    pub(crate) fails: bool,
}

/// An attempt at the worker.
#[derive(Clone, Debug)]
struct Run {
    number: u32,
    phase: Phase,
    ends: Time,
    remaining: Duration,
    task: Task,
    throttled_to: Option<Size>,
    checkpoint: Option<Time>,
}

/// A simulated worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub(crate) faults: Faults,
    pub(crate) lease_until: Time,
    pub(crate) boot: u64,
    refused: BTreeSet<(String, u32)>,
    runs: BTreeMap<String, Run>,
}

/// How long a checkpoint takes.
pub(crate) const CHECKPOINT: Duration = Duration::from_millis(1_200);

impl Worker {
    /// Handles a start command. Starts the task unless it is known already or refused.
    pub(crate) fn start(
        &mut self,
        now: Time,
        (boot, lease_until): (u64, Time),
        command: &Command,
        task: Task,
    ) -> StartOutcome {
        let Command::Start { job, number, .. } = command else { return StartOutcome::Known };
        if boot != self.boot {
            return StartOutcome::OtherBoot;
        }
        if self.runs.get(job).is_some_and(|run| run.number >= *number) {
            return StartOutcome::Known;
        }
        let pair = (job.clone(), *number);
        if lease_until <= now || self.refused.contains(&pair) {
            self.refused.insert(pair);
            return StartOutcome::Refused;
        }
        self.lease_until = self.lease_until.max(lease_until);
        let remaining = if self.faults.fails_all { task.runs / 100 } else { task.runs };
        let run = Run {
            number: *number,
            phase: Phase::Running,
            ends: now + remaining,
            remaining,
            task,
            throttled_to: None,
            checkpoint: None,
        };
        self.runs.insert(job.clone(), run);
        StartOutcome::Started
    }

    /// Executes any other command.
    pub(crate) fn execute(&mut self, now: Time, command: &Command) {
        let faults = self.faults;
        match command {
            Command::Start { .. } => {}
            Command::Throttle { job, number, to } => {
                if let Some(run) = self.run(job, *number).filter(|_| !faults.ignores_throttles) {
                    run.phase = Phase::Throttled;
                    run.throttled_to = Some(*to);
                }
            }
            Command::Checkpoint { job, number } => {
                if let Some(run) = self.run(job, *number).filter(|_| !faults.ignores_checkpoints) {
                    run.checkpoint.get_or_insert(now + CHECKPOINT);
                }
            }
            Command::Stop { job, number } => {
                if let Some(run) = self.run(job, *number).filter(|run| !has_ended(run.phase)) {
                    run.phase = Phase::Stopped;
                }
            }
            Command::Forget { job, number } => {
                if self.run(job, *number).is_some_and(|run| has_ended(run.phase)) {
                    self.runs.remove(job);
                }
            }
        }
    }

    /// Advances all attempts to `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        if self.faults.paused {
            return;
        }
        let expired = now >= self.lease_until && !self.faults.outlives_lease;
        let fails_all = self.faults.fails_all;
        for run in self.runs.values_mut().filter(|run| !has_ended(run.phase)) {
            if expired {
                run.phase = Phase::Stopped;
            } else if run.ends <= now {
                let failed = run.task.fails || fails_all;
                run.phase = if failed { Phase::Failed } else { Phase::Succeeded };
            } else if run.checkpoint.is_some_and(|at| at <= now) {
                run.phase = Phase::Checkpointed;
                run.remaining = Duration::from_micros(run.ends.as_micros() - now.as_micros());
            }
        }
    }

    /// Restarts the process, which loses all state.
    pub(crate) fn restart(&mut self) {
        self.runs.clear();
        self.refused.clear();
        self.boot += 1;
        self.lease_until = Time::ZERO;
    }

    /// The attempts of its report.
    pub(crate) fn report(&self) -> Vec<fact::Attempt> {
        let listed = |(job, run): (&String, &Run)| fact::Attempt {
            job: job.clone(),
            number: run.number,
            phase: run.phase,
            usage: run.usage(),
            checkpoint: (run.phase == Phase::Checkpointed)
                .then(|| format!("{}", run.remaining.as_micros())),
        };
        self.runs.iter().map(listed).collect()
    }

    /// Jobs that are running, with the resources that they use.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&String, Size)> {
        let running = self.runs.iter().filter(|(_, run)| !has_ended(run.phase));
        running.map(|(job, run)| (job, run.usage()))
    }

    fn run(&mut self, job: &str, number: u32) -> Option<&mut Run> {
        self.runs.get_mut(job).filter(|run| run.number == number)
    }
}

impl Run {
    fn usage(&self) -> Size {
        if has_ended(self.phase) {
            return Size::default();
        }
        let usage = self.task.usage;
        let cores =
            self.throttled_to.map_or(usage.milli_cores, |to| usage.milli_cores.min(to.milli_cores));
        Size { milli_cores: cores, ..usage }
    }
}

/// Result of a start command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// It started.
    Started,
    /// The attempt is known already.
    Known,
    /// It did not start, and the worker will refuse it again.
    Refused,
    /// The command was meant for an earlier process.
    OtherBoot,
}

fn has_ended(phase: Phase) -> bool {
    !matches!(phase, Phase::Running | Phase::Throttled)
}
