//! A worker in virtual time that keeps the contract but for the faults it is given.

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
    /// Every task fails, after a hundredth of its time.
    pub(crate) fails_all: bool,
    /// Tasks go on after the lease has lapsed.
    pub(crate) outlives_lease: bool,
    /// It does not checkpoint when told to.
    pub(crate) ignores_checkpoints: bool,
    /// It does not throttle when told to.
    pub(crate) ignores_throttles: bool,
    /// It can't be reached.
    pub(crate) unreachable: bool,
    /// Its process stands still.
    pub(crate) paused: bool,
    /// It drops every message but its reports.
    pub(crate) deaf: bool,
}

/// How a task behaves, whatever was declared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Task {
    pub(crate) runs: Duration,
    pub(crate) usage: Size,
    pub(crate) fails: bool,
}

/// An attempt as the worker holds it.
#[derive(Clone, Debug)]
struct Run {
    number: u32,
    phase: Phase,
    ends: Time,
    left: Duration,
    task: Task,
    held_to: Option<Size>,
    checkpoint: Option<Time>,
}

/// A worker.
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
    /// Starts a task, if it is not known; `false` where it is refused.
    pub(crate) fn start(
        &mut self,
        now: Time,
        (boot, lease_until): (u64, Time),
        order: &Command,
        task: Task,
    ) -> Started {
        let Command::Start { job, number, .. } = order else { return Started::Known };
        if boot != self.boot {
            return Started::OtherBoot;
        }
        if self.runs.get(job).is_some_and(|run| run.number >= *number) {
            return Started::Known;
        }
        let pair = (job.clone(), *number);
        if lease_until <= now || self.refused.contains(&pair) {
            self.refused.insert(pair);
            return Started::Refused;
        }
        self.lease_until = self.lease_until.max(lease_until);
        let left = if self.faults.fails_all { task.runs / 100 } else { task.runs };
        let run = Run {
            number: *number,
            phase: Phase::Running,
            ends: now + left,
            left,
            task,
            held_to: None,
            checkpoint: None,
        };
        self.runs.insert(job.clone(), run);
        Started::Ran
    }

    /// Does as it is told.
    pub(crate) fn obey(&mut self, now: Time, order: &Command) {
        let faults = self.faults;
        match order {
            Command::Start { .. } => {}
            Command::Throttle { job, number, to } => {
                if let Some(run) = self.run(job, *number).filter(|_| !faults.ignores_throttles) {
                    run.phase = Phase::Throttled;
                    run.held_to = Some(*to);
                }
            }
            Command::Checkpoint { job, number } => {
                if let Some(run) = self.run(job, *number).filter(|_| !faults.ignores_checkpoints) {
                    run.checkpoint.get_or_insert(now + CHECKPOINT);
                }
            }
            Command::Stop { job, number } => {
                if let Some(run) = self.run(job, *number).filter(|run| !over(run.phase)) {
                    run.phase = Phase::Stopped;
                }
            }
            Command::Forget { job, number } => {
                if self.run(job, *number).is_some_and(|run| over(run.phase)) {
                    self.runs.remove(job);
                }
            }
        }
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, now: Time) {
        if self.faults.paused {
            return;
        }
        let lapsed = now >= self.lease_until && !self.faults.outlives_lease;
        let fails_all = self.faults.fails_all;
        for run in self.runs.values_mut().filter(|run| !over(run.phase)) {
            if lapsed {
                run.phase = Phase::Stopped;
            } else if run.ends <= now {
                let failed = run.task.fails || fails_all;
                run.phase = if failed { Phase::Failed } else { Phase::Succeeded };
            } else if run.checkpoint.is_some_and(|at| at <= now) {
                run.phase = Phase::Checkpointed;
                run.left = Duration::from_micros(run.ends.as_micros() - now.as_micros());
            }
        }
    }

    /// Forgets everything, as a new process does.
    pub(crate) fn restart(&mut self) {
        self.runs.clear();
        self.refused.clear();
        self.boot += 1;
        self.lease_until = Time::ZERO;
    }

    /// What it reports.
    pub(crate) fn report(&self) -> Vec<fact::Attempt> {
        let listed = |(job, run): (&String, &Run)| fact::Attempt {
            job: job.clone(),
            number: run.number,
            phase: run.phase,
            usage: run.usage(),
            checkpoint: (run.phase == Phase::Checkpointed)
                .then(|| format!("{}", run.left.as_micros())),
        };
        self.runs.iter().map(listed).collect()
    }

    /// Jobs that run now, with what they use.
    pub(crate) fn running(&self) -> impl Iterator<Item = (&String, Size)> {
        let running = self.runs.iter().filter(|(_, run)| !over(run.phase));
        running.map(|(job, run)| (job, run.usage()))
    }

    fn run(&mut self, job: &str, number: u32) -> Option<&mut Run> {
        self.runs.get_mut(job).filter(|run| run.number == number)
    }
}

impl Run {
    fn usage(&self) -> Size {
        if over(self.phase) {
            return Size::default();
        }
        let usage = self.task.usage;
        let held =
            self.held_to.map_or(usage.milli_cores, |to| usage.milli_cores.min(to.milli_cores));
        Size { milli_cores: held, ..usage }
    }
}

/// What came of telling a worker to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Started {
    /// It started.
    Ran,
    /// It had been told before.
    Known,
    /// It did not start and will not.
    Refused,
    /// The order was meant for an earlier process.
    OtherBoot,
}

fn over(phase: Phase) -> bool {
    !matches!(phase, Phase::Running | Phase::Throttled)
}
