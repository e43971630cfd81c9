//! Watches the runs on all instances, and records rules that they violate.

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
use scheduler::tenant::Usage;

use super::quota::Quota;

/// Number of crashes under a task from which its job may be given up.
const MIN_CRASHES: u32 = 2;

/// Number of crashes under a task after which few further starts are allowed.
const MAX_CRASHES: u32 = 3;

/// Number of starts after [`MAX_CRASHES`] crashes that violates the rule.
const MAX_STARTS_AFTER_CRASHES: u32 = 3;

/// Number of failed runs after which the queues of a site give a task up.
const MAX_ATTEMPTS: u32 = 3;

/// The first completion of a task.
#[derive(Clone, Debug)]
struct Done {
    at: Time,
    instance: String,
    /// Whether the instance was told that it may forget the end of the run.
    acknowledged: bool,
}

/// The runs on all instances, and the rules that they violated.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    specs: BTreeMap<Id, Spec>,
    running: BTreeMap<TaskName, (u32, String)>,
    /// Jobs of which an instance has started a run.
    begun: BTreeSet<Id>,
    /// Completions that no further start of the task may follow.
    done: BTreeMap<TaskName, Done>,
    /// Tasks that were completed at least once.
    ever_done: BTreeSet<TaskName>,
    failed: BTreeMap<TaskName, u32>,
    /// Number of instances that crashed under each task.
    crashes: BTreeMap<TaskName, u32>,
    /// Members of gangs that have crashed their instances, whose other members have to end.
    broken_gangs: Vec<TaskName>,
    /// Number of starts of each task after [`MAX_CRASHES`] crashes.
    starts_after_crashes: BTreeMap<TaskName, u32>,
    /// When the scheduler learnt that a start command of a job got no answer.
    lost_at: BTreeMap<Id, Time>,
    /// When the last run of each task ended.
    ended_at: BTreeMap<TaskName, Time>,
    cancelled: BTreeMap<Id, Time>,
    pub quota: Quota,
    pub starts: u64,
    /// Stop commands that have reached the run that they name, since they were last taken.
    pub stop_orders: Vec<(TaskName, u32)>,
    /// Runs that ended since their leases had expired, since they were last taken.
    pub lapses: Vec<(TaskName, u32)>,
    pub violations: Vec<String>,
}

impl Monitor {
    pub fn expect_job(&mut self, job: Id, spec: &Spec) {
        self.specs.insert(job, spec.clone());
    }

    pub fn step(&self, name: TaskName) -> Step {
        self.specs[&name.job].steps[name.step as usize].clone()
    }

    pub fn cancel(&mut self, now: Time, job: Id) {
        self.cancelled.insert(job, now);
    }

    pub fn started(&mut self, now: Time, name: TaskName, run: u32, instance: &str) {
        self.starts += 1;
        self.begun.insert(name.job);
        if self.crashes(name) >= MAX_CRASHES {
            let starts = self.starts_after_crashes.entry(name).or_default();
            *starts += 1;
            if *starts >= MAX_STARTS_AFTER_CRASHES {
                self.violations.push(format!(
                    "{now}: {name} run {run} is start {starts} after {MAX_CRASHES} crashes"
                ));
            }
        }
        if let Some((other, other_instance)) = self.running.get(&name) {
            self.violations.push(format!(
                "{now}: {name} run {run} on {instance} beside run {other} on {other_instance}"
            ));
        }
        if let Some(Done { at, .. }) = self.done.get(&name) {
            self.violations
                .push(format!("{now}: {name} run {run} starts after the task was done at {at}"));
        }
        let limit = self.step(name).anti_affinity as usize;
        let beside = self.running.iter().filter(|(other, (_, other_instance))| {
            let same = other.job == name.job && other.step == name.step;
            same && other.occurrence == name.occurrence && other_instance == instance
        });
        let beside = beside.count();
        if limit > 0 && beside >= limit {
            self.violations.push(format!(
                "{now}: {name} on {instance} beside {beside} tasks of its step, limit {limit}"
            ));
        }
        for earlier in &self.step(name).after {
            let spec = &self.specs[&name.job];
            for member in 0..spec.steps[*earlier as usize].count {
                let before = TaskName { step: *earlier, member, ..name };
                if !self.ever_done.contains(&before) {
                    self.violations.push(format!("{now}: {name} starts before {before} is done"));
                }
            }
        }
        self.running.insert(name, (run, instance.to_owned()));
        let steps = self.running.keys().map(|other| (other.job, self.step(*other)));
        let excess = self.quota.excess(name, run, &self.step(name), steps);
        self.violations.extend(excess.map(|it| format!("{now}: {name} run {run}: {it}")));
    }

    /// Whether the tasks of a job's tenant use less than half of its cap, so that none of its work may stand.
    pub fn is_owed_room(&self, job: Id) -> bool {
        let steps = self.running.keys().map(|other| (other.job, self.step(*other)));
        self.quota.is_half_free(job, steps)
    }

    /// What the tasks of a tenant use.
    pub fn used_by(&self, tenant: &str) -> Usage {
        let steps = self.running.keys().map(|other| (other.job, self.step(*other)));
        self.quota.used(tenant, steps)
    }

    /// An instance was told that it may forget the end of a run.
    pub fn acknowledged(&mut self, name: TaskName) {
        if let Some(done) = self.done.get_mut(&name) {
            done.acknowledged = true;
        }
    }

    /// The leases of an instance expired, or it crashed: tasks whose completion there was not
    /// acknowledged may run again.
    pub fn leases_expired(&mut self, instance: &str) {
        self.done.retain(|_, done| done.acknowledged || done.instance != instance);
    }

    pub fn ended(
        &mut self,
        now: Time,
        name: TaskName,
        run: u32,
        instance: &str,
        exit: Option<Exit>,
    ) {
        if self.running.get(&name).is_some_and(|(current, _)| *current == run) {
            self.running.remove(&name);
        }
        self.ended_at.insert(name, now);
        match exit {
            Some(Exit::Done) => {
                self.ever_done.insert(name);
                let instance = instance.to_owned();
                self.done.entry(name).or_insert(Done { at: now, instance, acknowledged: false });
            }
            Some(Exit::Expired) => self.lapses.push((name, run)),
            Some(Exit::Failed) => *self.failed.entry(name).or_default() += 1,
            _ => {}
        }
    }

    /// An instance crashed while it ran a task.
    pub fn crashed(&mut self, name: TaskName) {
        if self.step(name).gang {
            self.broken_gangs.push(name);
        }
        *self.crashes.entry(name).or_default() += 1;
    }

    /// Takes the members of gangs that have crashed their instances.
    pub fn take_broken_gangs(&mut self) -> Vec<TaskName> {
        std::mem::take(&mut self.broken_gangs)
    }

    pub fn crashes(&self, name: TaskName) -> u32 {
        self.crashes.get(&name).copied().unwrap_or_default()
    }

    /// Whether a job may be given up: for failed runs, or for a task that crashed instances.
    fn may_fail(&self, job: Id) -> bool {
        let of_job = |name: &&TaskName| name.job == job;
        let crashes = self.crashes.iter().filter(|(name, _)| of_job(name)).map(|(_, count)| count);
        let failures = self.failed.iter().filter(|(name, _)| of_job(name)).map(|(_, count)| count);
        crashes.max().is_some_and(|&max| max >= MIN_CRASHES)
            || failures.sum::<u32>() >= MAX_ATTEMPTS
    }

    pub fn stored(&mut self, job: Id, progress: &Progress) {
        if progress.state == State::Failed && !self.may_fail(job) {
            self.violations.push(format!("{job} is stored as failed without cause"));
        }
        if progress.state != State::Completed {
            return;
        }
        let spec = &self.specs[&job];
        for (index, step) in spec.steps.iter().enumerate() {
            for member in 0..step.count {
                let name = TaskName { job, occurrence: 0, step: index as u32, member };
                if !self.ever_done.contains(&name) {
                    self.violations
                        .push(format!("{job} is stored as completed, but {name} is not done"));
                }
            }
        }
    }

    /// The scheduler learns at `at` that a start command of a job got no answer.
    pub fn lost(&mut self, at: Time, job: Id) {
        self.lost_at.insert(job, at);
    }

    pub fn lost_at(&self, job: Id) -> Option<Time> {
        self.lost_at.get(&job).copied()
    }

    /// All jobs that were submitted.
    pub fn jobs(&self) -> impl Iterator<Item = Id> {
        self.specs.keys().copied()
    }

    pub fn spec(&self, job: Id) -> &Spec {
        &self.specs[&job]
    }

    pub fn is_cancelled(&self, job: Id) -> bool {
        self.cancelled.contains_key(&job)
    }

    /// Whether an instance has started a run of a job.
    pub fn has_begun(&self, job: Id) -> bool {
        self.begun.contains(&job)
    }

    /// Whether a task was completed at least once.
    pub fn is_done(&self, name: TaskName) -> bool {
        self.ever_done.contains(&name)
    }

    /// When the last run of a task ended.
    pub fn ended_at(&self, name: TaskName) -> Option<Time> {
        self.ended_at.get(&name).copied()
    }

    /// Tasks of a job that do not run and were never completed, those of the first occurrence.
    pub fn without_run(&self, job: Id) -> Vec<TaskName> {
        let steps = self.specs[&job].steps.iter().enumerate();
        let names = steps.flat_map(|(step, specified)| {
            (0..specified.count).map(move |member| (specified.long_running, step as u32, member))
        });
        let names = names.map(|(long_running, step, member)| {
            (long_running, TaskName { job, occurrence: 0, step, member })
        });
        let idle = names.filter(|(long_running, name)| {
            !self.running.contains_key(name) && (*long_running || !self.ever_done.contains(name))
        });
        idle.map(|(_, name)| name).collect()
    }

    /// Number of tasks of a step that run on an instance.
    pub fn siblings_on(&self, job: Id, step: u32, instance: &str) -> u32 {
        let siblings = self
            .running
            .iter()
            .filter(|(name, (_, on))| name.job == job && name.step == step && on == instance);
        siblings.count() as u32
    }

    /// Number of tasks of a job that run.
    pub fn running(&self, job: Id) -> usize {
        self.running.keys().filter(|name| name.job == job).count()
    }

    /// Whether a run of a task is in progress.
    pub fn runs(&self, name: TaskName, run: u32) -> bool {
        self.running.get(&name).is_some_and(|(current, _)| *current == run)
    }

    /// Instance on which a task runs.
    pub fn instance_of(&self, name: TaskName) -> Option<&str> {
        self.running.get(&name).map(|(_, instance)| instance.as_str())
    }

    pub fn failures(&self, name: TaskName) -> u32 {
        self.failed.get(&name).copied().unwrap_or_default()
    }

    /// Panics if a rule was violated.
    pub fn check(&self) {
        assert!(
            self.violations.is_empty(),
            "{} violations: {:#?}",
            self.violations.len(),
            &self.violations[..self.violations.len().min(5)]
        );
    }
}
