//! One worker: the attempts it holds, under a lease, and what it reports.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::config::Size;
use fleet::fact;
use fleet::fact::Phase;
use fleet::job::Command;
use fleet::time::Time;

/// How long a checkpoint takes.
const CHECKPOINT: Duration = Duration::from_millis(1_000);

/// A worker that fails everything does so after this part of a task's time.
const BURNT_PART: u32 = 100;

/// How a task behaves, whatever was declared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Task {
    /// How long it runs.
    pub runs: Duration,
    /// What it uses.
    pub usage: Size,
}

/// An attempt as a worker holds it.
#[derive(Clone, Debug)]
struct Run {
    number: u32,
    phase: Phase,
    ends: Time,
    left: Duration,
    usage: Size,
    checkpoint: Option<Time>,
}

/// One worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Rises with each start of its process.
    pub boot: u64,
    /// Whether it fails every task.
    pub burns: bool,
    /// Attempts that it failed for no fault of theirs.
    pub burnt: u64,
    lease: Time,
    runs: BTreeMap<String, Run>,
}

impl Worker {
    /// A new process takes over, and knows nothing.
    pub fn restart(&mut self) {
        self.boot += 1;
        self.runs.clear();
        self.lease = Time::ZERO;
    }

    /// Its lease runs until then.
    pub fn renew(&mut self, lease: Time) {
        self.lease = self.lease.max(lease);
    }

    /// Starts an attempt that it doesn't know; whether it did.
    pub fn start(&mut self, job: &str, number: u32, task: Task, now: Time) -> bool {
        if self.lease <= now || self.runs.get(job).is_some_and(|run| run.number >= number) {
            return false;
        }
        let left = if self.burns { task.runs / BURNT_PART } else { task.runs };
        let ends = now + left;
        let usage = task.usage;
        let run = Run { number, phase: Phase::Running, ends, left, usage, checkpoint: None };
        self.runs.insert(job.to_owned(), run);
        true
    }

    /// Does as it is told with an attempt that it has.
    pub fn obey(&mut self, order: &Command, now: Time) {
        match order {
            Command::Start { .. } => {}
            Command::Throttle { job, number, to } => {
                if let Some(run) = self.running(job, *number) {
                    run.phase = Phase::Throttled;
                    run.usage.milli_cores = run.usage.milli_cores.min(to.milli_cores);
                }
            }
            Command::Checkpoint { job, number } => {
                if let Some(run) = self.running(job, *number) {
                    run.checkpoint.get_or_insert(now + CHECKPOINT);
                }
            }
            Command::Stop { job, number } => {
                if let Some(run) = self.running(job, *number) {
                    run.phase = Phase::Stopped;
                }
            }
            Command::Forget { job, number } => {
                let over = |run: &Run| run.number == *number && is_over(run.phase);
                if self.runs.get(job).is_some_and(over) {
                    self.runs.remove(job);
                }
            }
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Time) {
        let lapsed = now >= self.lease;
        for run in self.runs.values_mut().filter(|run| !is_over(run.phase)) {
            if lapsed {
                run.phase = Phase::Stopped;
            } else if run.ends <= now {
                run.phase = if self.burns { Phase::Failed } else { Phase::Succeeded };
                self.burnt += u64::from(self.burns);
            } else if run.checkpoint.is_some_and(|at| at <= now) {
                run.phase = Phase::Checkpointed;
                run.left = run.ends.since(now);
            }
        }
    }

    /// What it reports now.
    pub fn report(&self) -> Vec<fact::Attempt> {
        let listed = |(job, run): (&String, &Run)| fact::Attempt {
            job: job.clone(),
            number: run.number,
            phase: run.phase,
            usage: if is_over(run.phase) { Size::default() } else { run.usage },
            checkpoint: (run.phase == Phase::Checkpointed)
                .then(|| run.left.as_millis().to_string()),
        };
        self.runs.iter().map(listed).collect()
    }

    /// Names of the jobs that it runs now.
    pub fn jobs(&self) -> impl Iterator<Item = &str> {
        let running = self.runs.iter().filter(|(_, run)| !is_over(run.phase));
        running.map(|(job, _)| job.as_str())
    }

    fn running(&mut self, job: &str, number: u32) -> Option<&mut Run> {
        let run = self.runs.get_mut(job)?;
        (run.number == number && !is_over(run.phase)).then_some(run)
    }
}

const fn is_over(phase: Phase) -> bool {
    !matches!(phase, Phase::Running | Phase::Throttled)
}
