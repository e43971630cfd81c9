//! What the scheduler knows of a job and its tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use fleet::time::Time;
use serde::Deserialize;
use serde::Serialize;

use super::Begun;
use super::Body;
use super::Id;
use super::Phase;
use super::Placement;
use super::Progress;
use super::Restart;
use super::Spec;
use super::Step;
use super::Suspicion;
use super::TaskKey;
use super::TaskName;
use super::Terms;
use super::memory::memory;
use super::part::Digests;
use crate::Config;
use crate::config::Queue;
use crate::instance;
use crate::tenant;
use crate::tenant::Tenants;

/// State of a job, as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum State {
    /// Submitted, but not in the store yet: no task may start.
    #[default]
    #[display("storing")]
    Storing,
    /// Accepted, and not ended yet.
    #[display("active")]
    Active,
    /// All of its tasks are done.
    #[display("completed")]
    Completed,
    /// A task has used up the attempts that its queue allows.
    #[display("failed")]
    Failed,
    /// Cancelled by its caller.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Whether the job has ended, so that none of its tasks should run.
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Whether the queue of an accepted job has had another service since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moved {
    /// It has not.
    #[default]
    Never,
    /// It has, and the store does not hold that: a next leader would look for the job's runs at one service only.
    Unstored,
    /// It has, and the store holds that.
    Stored,
}

/// The first placement of a task of a job.
#[derive(Clone, Copy, Debug)]
pub struct FirstPlaced {
    /// When it was placed.
    pub at: Time,
    /// Expected duration of the job's critical path then.
    pub critical_path: Duration,
    /// Whether the job could be on time then.
    pub on_time: bool,
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Its phase.
    pub phase: Phase,
    /// Number of its newest run; rises with each run, and is zero before the first.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether it may be what crashed instances.
    pub suspicion: Suspicion,
    /// Number of the newest run that had ended according to the row that this leader restored; zero
    /// if there is none.
    pub last_recorded_end: u32,
    /// Whether this leader has started its newest run, or seen it at work: then no previous leader can
    /// have started a later one.
    pub newest_run_known: bool,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Incarnation of the instance on which it was last placed: Unix time of its process start in
    /// milliseconds; zero if unknown.
    pub incarnation: u64,
    /// Whether the end of its last run was only inferred from the expiry of the lease, and not
    /// reported by the instance.
    pub end_presumed: bool,
    /// When it entered its phase.
    pub since: Time,
    /// When this leader placed its newest run; zero if a previous one did.
    pub placed_at: Time,
    /// When it may start again, if it is long-running.
    pub restart: Restart,
    /// Percent of its work that is done; for a long-running task, percent of its full speed.
    pub percent: u8,
    /// When `percent` last grew, or a long-running task was last seen at full speed.
    pub progressed_at: Time,
    /// When a heartbeat last showed its run.
    pub seen_at: Time,
    /// When the last stop command for its run was sent.
    pub stop_sent_at: Option<Time>,
    /// Number of the run that was last evicted; cleared once a later run works at full speed.
    pub evicted_run: Option<u32>,
    /// When the end of that run was last ordered, or this leader learnt that it had been.
    pub evicted_at: Time,
    /// Since when the tail latency of its responses has exceeded its target.
    pub over_target_since: Option<Time>,
    /// Percent of full speed that it was last commanded to work at.
    pub throttle_percent: u8,
    /// When the last throttle command was sent.
    pub throttled_at: Time,
}

impl Task {
    /// Whether it is suspected of crashing instances.
    pub const fn is_suspect(&self) -> bool {
        self.suspicion.suspect
    }
}

/// A job: its specification, its state and its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its name.
    pub id: Id,
    /// Name of its queue.
    pub queue: String,
    /// Service whose instances run its tasks.
    pub service: String,
    /// Whether its queue has had another service since it was accepted: instances of any service may then run its
    /// tasks.
    pub moved: Moved,
    /// Terms under which it was accepted; None if its row does not tell, see [`Self::terms`].
    pub accepted_terms: Option<Terms>,
    /// Tenant on whose behalf it runs, if it has one.
    pub tenant: Option<tenant::Key>,
    /// Whether it was beyond its tenant's rate when it was accepted.
    pub beyond_rate: bool,
    /// Its specification.
    pub spec: Rc<Spec>,
    /// Memory that it takes up, in bytes; an estimate.
    pub memory: usize,
    /// The payload, shared by all start commands.
    pub payload: Rc<str>,
    /// Its state.
    pub state: State,
    /// When it was submitted.
    pub submitted: Time,
    /// The store's clock at submission, in milliseconds.
    pub submitted_ms: u64,
    /// When it should have ended at the latest.
    pub deadline: Time,
    /// When its first occurrence is due to start.
    pub first_start: Time,
    /// Its tasks, in order of occurrences, steps and members.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done, by step within occurrence.
    pub unfinished: Vec<u32>,
    /// Whether it has begun.
    pub begun: Begun,
    /// Its first placement by this leader, if there was one.
    pub first_placed: Option<FirstPlaced>,
    /// Instances on which its runs have failed or hung, and when they last did.
    pub failed_on: BTreeMap<instance::Key, Time>,
    /// Instances that have refused to start its tasks or not answered, and when they last did.
    pub not_started_on: BTreeMap<instance::Key, Time>,
    /// Instances against which its failures count in full.
    pub blamed: BTreeSet<instance::Key>,
    /// When one of its runs last failed or hung.
    pub failed_at: Option<Time>,
    /// When one of its tasks last ran, as far as is known; when it was accepted, if none has.
    pub ran_at: Time,
    /// When its tasks are tried again, after they have found no place.
    pub retry_at: Time,
    /// When its tasks were last tried; when it was accepted, if they have not been.
    pub tried_at: Time,
    /// When it ended; None while it is active.
    pub ended: Option<Time>,
    /// Whether the store holds its body.
    pub body_stored: bool,
    /// Digests of the further rows of its progress that the store holds.
    pub digests: Digests,
    /// Whether a previous leader may have started runs that the store does not hold.
    pub maybe_unrecorded: bool,
    /// Critical path from each step on, as the estimates of its steps in milliseconds.
    pub critical_paths: Vec<Vec<u64>>,
}

impl Job {
    /// A job that was submitted at `now` and is not in the store yet.
    pub fn new(id: Id, queue: &str, service: &str, spec: Spec, now: Time) -> Self {
        let spec = Rc::new(spec);
        let payload = Rc::from(spec.payload.as_str());
        let occurrences = spec.occurrences();
        let tasks = vec![Task::default(); (spec.tasks_per_occurrence() * occurrences) as usize];
        let counts = spec.steps.iter().map(|step| step.count);
        let unfinished = (0..occurrences).flat_map(|_| counts.clone()).collect();
        Self {
            id,
            queue: queue.to_owned(),
            service: service.to_owned(),
            moved: Moved::Never,
            accepted_terms: None,
            tenant: None,
            beyond_rate: false,
            critical_paths: spec.critical_paths(),
            memory: memory(&spec),
            spec,
            payload,
            state: State::Storing,
            submitted: now,
            submitted_ms: 0,
            deadline: now,
            first_start: now,
            tasks,
            unfinished,
            begun: Begun::default(),
            first_placed: None,
            failed_on: BTreeMap::new(),
            not_started_on: BTreeMap::new(),
            blamed: BTreeSet::new(),
            failed_at: None,
            ran_at: now,
            retry_at: now,
            tried_at: now,
            ended: None,
            body_stored: false,
            digests: Digests::new(),
            maybe_unrecorded: false,
        }
    }

    /// Name of its tenant; empty if it has none.
    fn tenant_name(&self, tenants: &Tenants) -> String {
        self.tenant.map(|key| tenants.get(key).name.clone()).unwrap_or_default()
    }

    /// Its row in the bodies table.
    pub fn body(&self, tenants: &Tenants) -> Body {
        Body {
            queue: self.queue.clone(),
            service: self.service.clone(),
            submitted_ms: self.submitted_ms,
            spec: (*self.spec).clone(),
            terms: self.accepted_terms,
            tenant: self.tenant_name(tenants),
            cap: self.tenant.map(|key| tenants.get(key).cap).unwrap_or_default(),
        }
    }

    /// Its terms. Those of a job that a former build has accepted are looked up in the configuration in force.
    pub fn terms(&self, config: &Config) -> Terms {
        self.accepted_terms.unwrap_or_else(|| config.terms(&self.queue, &self.service))
    }

    /// Applies what its queue says of all its jobs, also of those that were accepted before. Returns whether its row
    /// has changed.
    pub fn follow(&mut self, queue: &Queue) -> bool {
        if let Some(terms) = &mut self.accepted_terms {
            terms.priority = queue.priority;
        }
        if self.service == queue.service {
            return false;
        }
        self.service.clone_from(&queue.service);
        let first = self.moved == Moved::Never;
        self.moved = self.moved.max(Moved::Unstored);
        first
    }

    /// Whether runs of it may still go on although it has ended, which count for its tenant: the store holds them
    /// until they are over.
    pub fn counts_after_end(&self) -> bool {
        self.tenant.is_some()
            && self.state.is_ended()
            && self.tasks.iter().any(|task| task.phase.is_sent())
    }

    /// Its row in the progress table. `names` returns the name of an instance.
    pub fn progress(&self, tenants: &Tenants, names: impl Fn(instance::Key) -> String) -> Progress {
        let state = if self.state == State::Storing { State::Active } else { self.state };
        let mut tasks = Vec::new();
        if !state.is_ended() || self.counts_after_end() {
            let placed = self.tasks.iter().enumerate().filter(|(_, task)| task.run > 0);
            tasks.extend(placed.map(|(index, task)| {
                let instance = task.phase.instance();
                Placement {
                    index: index as u32,
                    run: task.run,
                    failures: task.failures,
                    done: task.phase == Phase::Done,
                    incarnation: if instance.is_some() { task.incarnation } else { 0 },
                    instance: instance.map(&names).unwrap_or_default(),
                    checkpoint: task.checkpoint.clone(),
                    crashes: task.suspicion.crashes,
                    presumed_crashes: task.suspicion.presumed,
                    suspect: task.suspicion.suspect,
                    evicted: task.evicted_run.unwrap_or_default(),
                }
            }));
        }
        let moved = self.moved != Moved::Never && !state.is_ended();
        let begun = self.begun.is_known() && !state.is_ended();
        let (queue, tenant) = (self.queue.clone(), self.tenant_name(tenants));
        Progress { state, queue, tenant, moved, begun, tasks, has_parts: false }
    }

    /// Number of steps.
    pub fn step_count(&self) -> usize {
        self.spec.steps.len()
    }

    /// Name of the task at an index.
    pub fn task_name(&self, index: u32) -> TaskName {
        let per_occurrence = self.spec.tasks_per_occurrence();
        let occurrence = index / per_occurrence;
        let mut member = index % per_occurrence;
        let mut step = 0;
        while member >= self.spec.steps[step].count {
            member -= self.spec.steps[step].count;
            step += 1;
        }
        TaskName { job: self.id, occurrence, step: step as u32, member }
    }

    /// Index of a named task; None if the job has no such task.
    pub fn task_index(&self, name: TaskName) -> Option<u32> {
        let step = self.spec.steps.get(name.step as usize)?;
        if name.member >= step.count || name.occurrence >= self.spec.occurrences() {
            return None;
        }
        Some(self.first_index(name.occurrence, name.step as usize) + name.member)
    }

    /// Index of the first task of a step.
    pub fn first_index(&self, occurrence: u32, step: usize) -> u32 {
        let before: u32 = self.spec.steps[..step].iter().map(|step| step.count).sum();
        occurrence * self.spec.tasks_per_occurrence() + before
    }

    /// Indexes of the tasks of a step.
    pub fn members(&self, occurrence: u32, step: usize) -> std::ops::Range<usize> {
        let start = self.first_index(occurrence, step) as usize;
        start..start + self.spec.steps[step].count as usize
    }

    /// The step of the task at an index.
    pub fn step(&self, index: u32) -> &Step {
        &self.spec.steps[self.task_name(index).step as usize]
    }

    /// The key of the task at an index.
    pub const fn task_key(&self, index: u32) -> TaskKey {
        TaskKey { job: self.id, index }
    }

    /// Keys of the tasks of the step of the task at an index, that task included.
    pub fn siblings(&self, index: u32) -> std::ops::Range<TaskKey> {
        let name = self.task_name(index);
        let members = self.members(name.occurrence, name.step as usize);
        self.task_key(members.start as u32)..self.task_key(members.end as u32)
    }

    /// Whether no previous leader can have started a run of the task at an index that is still unknown; of
    /// a gang, a run of any member.
    pub fn knows_starts(&self, index: u32) -> bool {
        let known = |index: u32| self.tasks[index as usize].newest_run_known;
        if !self.maybe_unrecorded || !self.step(index).gang {
            return !self.maybe_unrecorded || known(index);
        }
        let members = self.siblings(index);
        (members.start.index..members.end.index).all(known)
    }

    /// Number of tasks of a step that are not done.
    pub fn unfinished(&self, occurrence: u32, step: usize) -> u32 {
        self.unfinished[occurrence as usize * self.step_count() + step]
    }

    /// Marks a task as done; returns whether it was not done before.
    pub fn finish(&mut self, index: u32, now: Time) -> bool {
        let name = self.task_name(index);
        let task = &mut self.tasks[index as usize];
        if task.phase == Phase::Done {
            return false;
        }
        task.phase = Phase::Done;
        task.since = now;
        let slot = name.occurrence as usize * self.spec.steps.len() + name.step as usize;
        self.unfinished[slot] = self.unfinished[slot].saturating_sub(1);
        true
    }

    /// When an occurrence is due to start.
    pub fn occurrence_start(&self, occurrence: u32) -> Time {
        let after_ms = self.spec.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_start + Duration::from_millis(after_ms)
    }

    /// Makes tasks ready whose occurrence is due and whose step depends on completed steps only.
    /// Returns when the next occurrence is due to start, if there is one.
    pub fn advance(&mut self, now: Time) -> Option<Time> {
        if self.state != State::Active {
            return None;
        }
        let mut next = None;
        for occurrence in 0..self.spec.occurrences() {
            let start = self.occurrence_start(occurrence);
            if start > now {
                next = Some(start);
                break;
            }
            self.advance_occurrence(occurrence, now);
        }
        next
    }

    fn advance_occurrence(&mut self, occurrence: u32, now: Time) {
        for step in 0..self.step_count() {
            let after = &self.spec.steps[step].after;
            if after.iter().any(|&earlier| self.unfinished(occurrence, earlier as usize) > 0) {
                continue;
            }
            for index in self.members(occurrence, step) {
                let task = &mut self.tasks[index];
                if task.phase == Phase::Waiting {
                    task.phase = Phase::Ready;
                    task.since = now;
                }
            }
        }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.unfinished.iter().all(|&count| count == 0)
    }
}
