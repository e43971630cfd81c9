//! A job in the scheduler's memory.

use std::rc::Rc;
use std::time::Duration;

use fleet::time::Time;
use serde::Deserialize;
use serde::Serialize;

use super::Body;
use super::Id;
use super::Placement;
use super::Progress;
use super::Spec;
use super::Step;
use super::TaskKey;
use super::TaskName;
use crate::instance;

/// State of a job as callers see it, and before it is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum State {
    /// Not in the store yet: nothing of it may start.
    #[default]
    #[display("storing")]
    Storing,
    /// Accepted, and not ended.
    #[display("active")]
    Active,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task has failed too often.
    #[display("failed")]
    Failed,
    /// Its caller took it back.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Whether nothing of it is to run any more.
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Its step's turn has not come.
    #[default]
    Waiting,
    /// It could start.
    Ready,
    /// It has a place that the store does not know yet.
    Planned(instance::Key),
    /// A write that tells its place is under way.
    Recording(instance::Key),
    /// The store knows its place; the order to start can go out.
    Recorded(instance::Key),
    /// The order is out.
    Starting(instance::Key),
    /// The order got no answer; it may take effect later.
    Unknown(instance::Key),
    /// An earlier scheduler placed it; the instance has not been looked at since.
    Inherited(instance::Key),
    /// It runs.
    Running(instance::Key),
    /// It has ended well.
    Done,
}

impl Phase {
    /// The instance on which it books room.
    pub const fn instance(self) -> Option<instance::Key> {
        match self {
            Self::Planned(key)
            | Self::Recording(key)
            | Self::Recorded(key)
            | Self::Starting(key)
            | Self::Unknown(key)
            | Self::Inherited(key)
            | Self::Running(key) => Some(key),
            Self::Waiting | Self::Ready | Self::Done => None,
        }
    }

    /// Whether an instance may have heard of it.
    pub const fn is_sent(self) -> bool {
        matches!(self, Self::Starting(_) | Self::Unknown(_) | Self::Inherited(_) | Self::Running(_))
    }
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// Number of its newest run; rises with each.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Newest run whose end an earlier scheduler has stored, or knew when it last wrote.
    pub last_recorded_end: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Life of the instance that it was last placed on.
    pub incarnation: u64,
    /// Whether its run before is over only by our reckoning, and not by its instance's word.
    pub end_presumed: bool,
    /// When it entered its phase.
    pub since: Time,
    /// Percent of its work done when last seen to grow, or of its speed if it lasts.
    pub percent: u8,
    /// When its percent last grew.
    pub progressed_at: Time,
    /// Instance that failed it last.
    pub avoid: Option<instance::Key>,
    /// When the last order to stop it went out.
    pub stop_sent_at: Option<Time>,
    /// The run that our own order ended, until a later one is at work.
    pub evicted_run: Option<u32>,
    /// Since when its own users' responses are over its target.
    pub over_target_since: Option<Time>,
    /// Percent of its speed that it was told to work at.
    pub throttle_percent: u8,
    /// When it was last told so.
    pub throttled_at: Time,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its name.
    pub id: Id,
    /// Name of its queue.
    pub queue: String,
    /// Service whose instances run its tasks.
    pub service: String,
    /// Service that it was submitted for.
    pub submitted_service: String,
    /// What was asked for.
    pub spec: Rc<Spec>,
    /// The payload, shared by the orders to start.
    pub payload: Rc<str>,
    /// Where it stands.
    pub state: State,
    /// When it came.
    pub submitted: Time,
    /// The store's clock when it came, in milliseconds.
    pub submitted_ms: u64,
    /// When it should have ended.
    pub deadline: Time,
    /// When its first occurrence is due.
    pub first_start: Time,
    /// Its tasks: members within steps within occurrences.
    pub tasks: Vec<Task>,
    /// Tasks of each step of each occurrence that are not done.
    pub unfinished: Vec<u32>,
    /// Whether a task of it has ever been placed.
    pub begun: bool,
    /// When it ended.
    pub ended: Option<Time>,
    /// Whether the store holds its body.
    pub body_stored: bool,
    /// Whether an earlier scheduler may have started more of it than the store tells.
    pub maybe_unrecorded: bool,
    /// The longest chain of steps from each step on, as guesses in milliseconds.
    pub critical_paths: Vec<Vec<u64>>,
}

impl Job {
    /// A job that nobody has stored yet.
    pub fn new(id: Id, queue: &str, service: &str, spec: Spec, now: Time) -> Self {
        let spec = Rc::new(spec);
        let payload = Rc::from(spec.payload.as_str());
        let occurrences = spec.occurrences();
        let tasks = vec![Task::default(); (spec.tasks_per_occurrence() * occurrences) as usize];
        let counts = spec.steps.iter().map(|step| step.count);
        let left = (0..occurrences).flat_map(|_| counts.clone()).collect();
        Self {
            id,
            queue: queue.to_owned(),
            service: service.to_owned(),
            submitted_service: service.to_owned(),
            critical_paths: spec.critical_paths(),
            spec,
            payload,
            state: State::Storing,
            submitted: now,
            submitted_ms: 0,
            deadline: now,
            first_start: now,
            tasks,
            unfinished: left,
            begun: false,
            ended: None,
            body_stored: false,
            maybe_unrecorded: false,
        }
    }

    /// Its row in the table of bodies.
    pub fn body(&self) -> Body {
        Body {
            queue: self.queue.clone(),
            service: self.service.clone(),
            submitted_ms: self.submitted_ms,
            spec: (*self.spec).clone(),
        }
    }

    /// Its row in the table of progress. `names` gives the name of an instance.
    pub fn progress(&self, names: impl Fn(instance::Key) -> String) -> Progress {
        let state = if self.state == State::Storing { State::Active } else { self.state };
        let mut tasks = Vec::new();
        if !state.is_ended() {
            let placed = self.tasks.iter().enumerate().filter(|(_, task)| task.run > 0);
            tasks.extend(placed.map(|(index, task)| {
                let runner = task.phase.instance();
                Placement {
                    index: index as u32,
                    run: task.run,
                    failures: task.failures,
                    done: task.phase == Phase::Done,
                    incarnation: if runner.is_some() { task.incarnation } else { 0 },
                    instance: runner.map(&names).unwrap_or_default(),
                    checkpoint: task.checkpoint.clone(),
                }
            }));
        }
        Progress { state, queue: self.queue.clone(), tasks }
    }

    /// Number of steps of an occurrence.
    pub fn step_count(&self) -> usize {
        self.spec.steps.len()
    }

    /// Name of the task at a place.
    pub fn task_name(&self, index: u32) -> TaskName {
        let width = self.spec.tasks_per_occurrence();
        let occurrence = index / width;
        let mut member = index % width;
        let mut step = 0;
        while member >= self.spec.steps[step].count {
            member -= self.spec.steps[step].count;
            step += 1;
        }
        TaskName { job: self.id, occurrence, step: step as u32, member }
    }

    /// Place of a named task; nothing where the job has no such task.
    pub fn task_index(&self, name: TaskName) -> Option<u32> {
        let step = self.spec.steps.get(name.step as usize)?;
        if name.member >= step.count || name.occurrence >= self.spec.occurrences() {
            return None;
        }
        Some(self.first_index(name.occurrence, name.step as usize) + name.member)
    }

    /// Place of the first task of a step.
    pub fn first_index(&self, occurrence: u32, step: usize) -> u32 {
        let before: u32 = self.spec.steps[..step].iter().map(|step| step.count).sum();
        occurrence * self.spec.tasks_per_occurrence() + before
    }

    /// Places of the tasks of a step.
    pub fn members(&self, occurrence: u32, step: usize) -> std::ops::Range<usize> {
        let start = self.first_index(occurrence, step) as usize;
        start..start + self.spec.steps[step].count as usize
    }

    /// The step of the task at a place.
    pub fn step(&self, index: u32) -> &Step {
        &self.spec.steps[self.task_name(index).step as usize]
    }

    /// The key of the task at a place.
    pub const fn task_key(&self, index: u32) -> TaskKey {
        TaskKey { job: self.id, index }
    }

    /// Tasks left of a step.
    pub fn unfinished(&self, occurrence: u32, step: usize) -> u32 {
        self.unfinished[occurrence as usize * self.step_count() + step]
    }

    /// Notes that a task is done; whether it was not before.
    pub fn finish(&mut self, index: u32, now: Time) -> bool {
        let name = self.task_name(index);
        let task = &mut self.tasks[index as usize];
        if task.phase == Phase::Done {
            return false;
        }
        task.phase = Phase::Done;
        task.since = now;
        let place = name.occurrence as usize * self.spec.steps.len() + name.step as usize;
        self.unfinished[place] = self.unfinished[place].saturating_sub(1);
        true
    }

    /// When an occurrence is due to start.
    pub fn occurrence_start(&self, occurrence: u32) -> Time {
        self.first_start + Duration::from_millis(self.spec.interval_ms) * occurrence
    }

    /// Makes ready the tasks whose turn has come, and tells when the next occurrence is due.
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
        self.unfinished.iter().all(|&left| left == 0)
    }
}
