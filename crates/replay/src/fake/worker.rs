//! Workers that run tasks under leases, as the contract with instances has it.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::config::Size;
use fleet::fact;
use fleet::fact::Phase;
use fleet::job::Order;
use fleet::time::Time;

use crate::trace::Fault;

/// How long a checkpoint takes.
const CHECKPOINT: Duration = Duration::from_millis(1_000);

/// Part of its time after which a task ends at a worker that fails all.
const FAILS_AFTER: u32 = 50;

/// How a task behaves, whatever was declared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Task {
    /// How long it runs.
    pub runs: Duration,
    /// What it uses.
    pub usage: Size,
    /// Whether it fails at its end.
    pub fails: bool,
}

/// One worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// How it behaves.
    pub fault: Fault,
    /// Differs with each start of its process.
    pub boot: u64,
    lease_until: Time,
    runs: BTreeMap<String, Run>,
}

#[derive(Clone, Debug)]
struct Run {
    number: u32,
    phase: Phase,
    ends: Time,
    task: Task,
    held_to: Option<u32>,
    checkpoint: Option<Time>,
    left: Duration,
}

impl Worker {
    /// Lets time pass.
    pub fn advance(&mut self, now: Time) {
        let lapsed = now >= self.lease_until;
        let fails_all = self.fault == Fault::FailsAll;
        for run in self.runs.values_mut().filter(|run| !is_over(run.phase)) {
            if lapsed {
                run.phase = Phase::Stopped;
            } else if run.ends <= now {
                let failed = run.task.fails || fails_all;
                run.phase = if failed { Phase::Failed } else { Phase::Succeeded };
            } else if run.checkpoint.is_some_and(|at| at <= now) {
                run.phase = Phase::Checkpointed;
                run.left = run.ends.since(now);
            }
        }
    }

    /// Starts anew and knows nothing.
    pub fn restart(&mut self) {
        *self = Self { fault: self.fault, boot: self.boot + 1, ..Self::default() };
    }

    /// Attempts may go on until then.
    pub fn renew(&mut self, until: Time) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Starts a task; `false` if it is known already.
    pub fn start(&mut self, job: &str, number: u32, task: Task, now: Time) -> bool {
        if self.runs.get(job).is_some_and(|run| run.number >= number) {
            return false;
        }
        let all = self.fault == Fault::FailsAll;
        let left = if all { task.runs / FAILS_AFTER } else { task.runs };
        let run = Run {
            number,
            phase: Phase::Running,
            ends: now + left,
            task,
            held_to: None,
            checkpoint: None,
            left,
        };
        self.runs.insert(job.to_owned(), run);
        true
    }

    /// Does as it is told, but for starts.
    pub fn obey(&mut self, order: &Order, now: Time) {
        let stubborn = self.fault == Fault::Stubborn;
        match order {
            Order::Start { .. } => {}
            Order::Throttle { job, number, to } => {
                if let Some(run) = self.run(job, *number).filter(|_| !stubborn) {
                    run.phase = Phase::Throttled;
                    run.held_to = Some(to.milli_cores);
                }
            }
            Order::Checkpoint { job, number } => {
                if let Some(run) = self.run(job, *number).filter(|_| !stubborn) {
                    run.checkpoint.get_or_insert(now + CHECKPOINT);
                }
            }
            Order::Stop { job, number } => {
                if let Some(run) = self.run(job, *number).filter(|run| !is_over(run.phase)) {
                    run.phase = Phase::Stopped;
                }
            }
            Order::Forget { job, .. } => {
                self.runs.remove(job);
            }
        }
    }

    /// What it reports.
    pub fn report(&self) -> Vec<fact::Attempt> {
        let listed = |(job, run): (&String, &Run)| fact::Attempt {
            job: job.clone(),
            number: run.number,
            phase: run.phase,
            usage: run.usage(),
            checkpoint: (run.phase == Phase::Checkpointed)
                .then(|| run.left.as_micros().to_string()),
        };
        self.runs.iter().map(listed).collect()
    }

    fn run(&mut self, job: &str, number: u32) -> Option<&mut Run> {
        self.runs.get_mut(job).filter(|run| run.number == number)
    }
}

impl Run {
    fn usage(&self) -> Size {
        if is_over(self.phase) {
            return Size::default();
        }
        let usage = self.task.usage;
        let held = self.held_to.unwrap_or(u32::MAX);
        Size { milli_cores: usage.milli_cores.min(held), ..usage }
    }
}

const fn is_over(phase: Phase) -> bool {
    !matches!(phase, Phase::Running | Phase::Throttled)
}
