//! A job's specification, as its caller submits it.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a payload.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum number of steps: more than any of the users' job descriptions has.
const MAX_STEPS: usize = 256;

/// Maximum number of tasks over all occurrences: bounds what a leader spends on one job.
const MAX_TASKS: u64 = 2_000;

/// Maximum length of a specification in JSON: with what else its row holds, it has to fit into one.
pub const MAX_BYTES: usize = 47 << 10;

/// Largest amount of a resource that a task may need: capacities are not larger.
const MAX_AMOUNT: u64 = u32::MAX as u64;

/// Longest time in milliseconds: sums over all occurrences and steps still fit.
const MAX_MILLIS: u64 = 1 << 53;

quick_error! {
    /// Why a specification is invalid.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Invalid {
        /// The payload is too long.
        Payload {
            display("payload is longer than {MAX_PAYLOAD_BYTES} bytes")
        }
        /// There are no steps, or a step has no tasks.
        Empty {
            display("job has no steps, or a step no tasks")
        }
        /// A step depends on itself or on a later step, which allows for cycles.
        Order {
            display("a step comes after itself or a later one")
        }
        /// There are too many steps or tasks.
        Size {
            display("job has more than {MAX_STEPS} steps or {MAX_TASKS} tasks")
        }
        /// The specification is too long for a row of the store.
        Length {
            display("job is longer than {MAX_BYTES} bytes")
        }
        /// A number is larger than any sensible one.
        Range {
            display("a number of the job is too large")
        }
        /// A long-running step never completes, so it can neither repeat nor have dependents.
        Combination {
            display("a step that lasts can't repeat, and nothing can come after it")
        }
    }
}

/// A job's specification.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// Passed on to instances unchanged.
    pub payload: String,
    /// Steps, in the order in which the caller lists them.
    pub steps: Vec<Step>,
    /// Number of occurrences, each of which runs all steps; zero means one.
    #[serde(skip_serializing_if = "is_default")]
    pub repeats: u32,
    /// Unix time of the first occurrence, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub first_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub interval_ms: u64,
}

/// A step: a number of tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// CPU of a task in millicores.
    pub cpu: u64,
    /// Memory of a task in megabytes.
    pub memory: u64,
    /// Accelerators of a task.
    #[serde(skip_serializing_if = "is_default")]
    pub accelerators: u64,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of the steps that have to be completed before this one starts.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints, from which a later run resumes.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks are a gang: they work only while all of them run.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether tasks slow down when they are spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that an instance must have; empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub requires: String,
    /// Label of the rack that holds the tasks' data, which placement prefers; empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub affinity: String,
    /// Maximum number of tasks of the step on one instance; zero for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub anti_affinity: u32,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Name of the image that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Target for the tail latency of a task that serves users, in milliseconds; zero for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Whether tasks only use the CPU that other tasks on the instance leave idle.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Maximum number of tasks of the step that may be down at once through evictions; zero for no
    /// limit.
    #[serde(rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Step {
    /// CPU that a task books on an instance, in millicores: none if it is best-effort.
    pub const fn booked_cpu(&self) -> u64 {
        if self.best_effort { 0 } else { self.cpu }
    }

    /// Whether sums of its amounts and times can't overflow.
    const fn is_in_range(&self) -> bool {
        self.cpu <= MAX_AMOUNT
            && self.memory <= MAX_AMOUNT
            && self.accelerators <= MAX_AMOUNT
            && self.estimate_ms < MAX_MILLIS
            && self.target_ms < MAX_MILLIS
    }
}

impl Spec {
    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Number of tasks of one occurrence.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks the specification.
    pub fn validate(&self) -> Result<(), Invalid> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(Invalid::Payload);
        }
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return Err(Invalid::Empty);
        }
        let per_occurrence: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = per_occurrence.saturating_mul(u64::from(self.occurrences()));
        if self.steps.len() > MAX_STEPS || tasks > MAX_TASKS {
            return Err(Invalid::Size);
        }
        let times = [self.first_ms, self.interval_ms];
        if times.into_iter().any(|time| time >= MAX_MILLIS)
            || !self.steps.iter().all(Step::is_in_range)
        {
            return Err(Invalid::Range);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|&earlier| earlier as usize >= index) {
                return Err(Invalid::Order);
            }
            let long_running = |&earlier: &u32| self.steps[earlier as usize].long_running;
            if step.after.iter().any(long_running) || (step.long_running && self.repeats > 1) {
                return Err(Invalid::Combination);
            }
        }
        Ok(())
    }

    /// For each step, its critical path: the chain of steps from it on whose estimates have the
    /// largest sum, as indexes of steps.
    pub fn critical_paths(&self) -> Vec<Vec<usize>> {
        let mut paths: Vec<Vec<usize>> = (0..self.steps.len()).map(|index| vec![index]).collect();
        for index in (0..self.steps.len()).rev() {
            for &earlier in &self.steps[index].after {
                let earlier = earlier as usize;
                let estimate_ms = self.steps[earlier].estimate_ms;
                let through = estimate_ms.saturating_add(self.path_ms(&paths[index]));
                if through > self.path_ms(&paths[earlier]) {
                    let mut path = vec![earlier];
                    path.extend(&paths[index]);
                    paths[earlier] = path;
                }
            }
        }
        paths
    }

    /// Length of a path by the estimates of its steps, in milliseconds.
    fn path_ms(&self, path: &[usize]) -> u64 {
        path.iter().fold(0, |sum, &index| sum.saturating_add(self.steps[index].estimate_ms))
    }
}
