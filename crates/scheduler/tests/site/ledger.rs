//! What instances ran, and which promises that broke.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::time::Time;
use scheduler::instance::Exit;
use scheduler::job::Id;
use scheduler::job::Progress;
use scheduler::job::Spec;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::TaskName;

/// A task that was done.
#[derive(Clone, Debug)]
struct Done {
    at: Time,
    runner: String,
    /// Whether the instance was told to forget it.
    noted: bool,
}

/// What instances ran.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    specs: BTreeMap<Id, Spec>,
    running: BTreeMap<TaskName, (u32, String)>,
    /// Ends that must not be followed by another start.
    done: BTreeMap<TaskName, Done>,
    /// Tasks that were done at least once.
    ever_done: BTreeSet<TaskName>,
    failed: BTreeMap<TaskName, u32>,
    cancelled: BTreeMap<Id, Time>,
    pub starts: u64,
    pub broken: Vec<String>,
}

impl Ledger {
    pub fn expect(&mut self, job: Id, spec: &Spec) {
        self.specs.insert(job, spec.clone());
    }

    pub fn step(&self, name: TaskName) -> Step {
        self.specs[&name.job].steps[name.step as usize].clone()
    }

    pub fn cancel(&mut self, now: Time, job: Id) {
        self.cancelled.insert(job, now);
    }

    pub fn started(&mut self, now: Time, name: TaskName, run: u32, runner: &str) {
        self.starts += 1;
        if let Some((other, place)) = self.running.get(&name) {
            self.broken
                .push(format!("{now}: {name} run {run} on {runner} beside run {other} on {place}"));
        }
        if let Some(Done { at, .. }) = self.done.get(&name) {
            self.broken.push(format!("{now}: {name} run {run} starts after it was done at {at}"));
        }
        let apart = self.step(name).anti_affinity as usize;
        let beside = self.running.iter().filter(|(other, (_, place))| {
            let same = other.job == name.job && other.step == name.step;
            same && other.occurrence == name.occurrence && place == runner
        });
        let beside = beside.count();
        if apart > 0 && beside >= apart {
            self.broken.push(format!("{now}: {name} on {runner} beside {beside} of its step"));
        }
        for earlier in &self.step(name).after {
            let spec = &self.specs[&name.job];
            for member in 0..spec.steps[*earlier as usize].count {
                let before = TaskName { step: *earlier, member, ..name };
                if !self.ever_done.contains(&before) {
                    self.broken.push(format!("{now}: {name} starts before {before} is done"));
                }
            }
        }
        self.running.insert(name, (run, runner.to_owned()));
    }

    /// An instance was told to forget an end.
    pub fn noted(&mut self, name: TaskName) {
        if let Some(done) = self.done.get_mut(&name) {
            done.noted = true;
        }
    }

    /// An instance has lapsed or died: ends that nobody noted may be done again.
    pub fn lapsed(&mut self, runner: &str) {
        self.done.retain(|_, done| done.noted || done.runner != runner);
    }

    pub fn ended(&mut self, now: Time, name: TaskName, run: u32, runner: &str, how: Option<Exit>) {
        if self.running.get(&name).is_some_and(|(current, _)| *current == run) {
            self.running.remove(&name);
        }
        match how {
            Some(Exit::Done) => {
                self.ever_done.insert(name);
                let runner = runner.to_owned();
                self.done.entry(name).or_insert(Done { at: now, runner, noted: false });
            }
            Some(Exit::Failed) => *self.failed.entry(name).or_default() += 1,
            _ => {}
        }
    }

    pub fn stored(&mut self, job: Id, progress: &Progress) {
        if progress.state != State::Completed {
            return;
        }
        let spec = &self.specs[&job];
        for (step, row) in spec.steps.iter().enumerate() {
            for member in 0..row.count {
                let name = TaskName { job, occurrence: 0, step: step as u32, member };
                if !self.ever_done.contains(&name) {
                    self.broken.push(format!("{job} completed, {name} is not done"));
                }
            }
        }
    }

    /// Tasks of a job that run.
    pub fn running(&self, job: Id) -> usize {
        self.running.keys().filter(|name| name.job == job).count()
    }

    /// Where a task runs.
    pub fn place(&self, name: TaskName) -> Option<&str> {
        self.running.get(&name).map(|(_, runner)| runner.as_str())
    }

    pub fn failures(&self, name: TaskName) -> u32 {
        self.failed.get(&name).copied().unwrap_or_default()
    }

    pub fn check(&self) {
        assert!(
            self.broken.is_empty(),
            "{} broken: {:#?}",
            self.broken.len(),
            &self.broken[..self.broken.len().min(5)]
        );
    }
}
