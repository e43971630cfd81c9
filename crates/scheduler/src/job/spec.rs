//! What a caller asks for.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Bytes of a payload, at most.
const PAYLOAD_BYTES: usize = 4_000;

/// Steps of a job, at most: more than any sheet of the users asks for.
const MAX_STEPS: usize = 256;

/// Tasks of a job over all occurrences, at most: what fits into one row.
const MAX_TASKS: u64 = 2_000;

quick_error! {
    /// Why a job can't be taken.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Invalid {
        /// The payload is too long.
        Payload {
            display("payload is longer than {PAYLOAD_BYTES} bytes")
        }
        /// There is nothing to run.
        Empty {
            display("job has no steps, or a step no tasks")
        }
        /// Steps wait for each other.
        Order {
            display("a step comes after itself or a later one")
        }
        /// There is too much to run.
        Size {
            display("job has more than {MAX_STEPS} steps or {MAX_TASKS} tasks")
        }
        /// What lasts never lets anything follow.
        Combination {
            display("a step that lasts can't repeat, and nothing can come after it")
        }
    }
}

/// What a caller asks for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// Handed to instances as it came.
    pub payload: String,
    /// Steps in the caller's order.
    pub steps: Vec<Step>,
    /// How often the steps run; nought and one are the same.
    #[serde(skip_serializing_if = "is_default")]
    pub repeats: u32,
    /// Unix time of the first occurrence, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub first_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub interval_ms: u64,
}

/// Tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Thousandths of a core a task.
    pub cpu: u64,
    /// Megabytes a task.
    pub memory: u64,
    /// Accelerators a task.
    #[serde(skip_serializing_if = "is_default")]
    pub accelerators: u64,
    /// The caller's guess of a task's time, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that have to be done first.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether tasks work only all together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether tasks are slow on more than one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that an instance must have.
    #[serde(skip_serializing_if = "is_default")]
    pub requires: String,
    /// Rack where the data lies.
    #[serde(skip_serializing_if = "is_default")]
    pub affinity: String,
    /// Most tasks of the step on one instance; nought for any number.
    #[serde(skip_serializing_if = "is_default")]
    pub anti_affinity: u32,
    /// Whether copies of a task may run side by side.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// What the tasks run; those of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Tail of its own users' response times that a serving task must keep to; nought for none.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Whether it only takes what others leave of an instance's processors.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Tasks of the step that may be away at once by our own doing; nought for no promise.
    #[serde(rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Step {
    /// Processors that it books on an instance, in thousandths of a core.
    pub const fn booked_cpu(&self) -> u64 {
        if self.best_effort { 0 } else { self.cpu }
    }
}

impl Spec {
    /// How often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Tasks of one occurrence.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks what a caller may get wrong.
    pub fn validate(&self) -> Result<(), Invalid> {
        if self.payload.len() > PAYLOAD_BYTES {
            return Err(Invalid::Payload);
        }
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return Err(Invalid::Empty);
        }
        let width: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = width.saturating_mul(u64::from(self.occurrences()));
        if self.steps.len() > MAX_STEPS || tasks > MAX_TASKS {
            return Err(Invalid::Size);
        }
        for (place, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|&earlier| earlier as usize >= place) {
                return Err(Invalid::Order);
            }
            let lasts = |&earlier: &u32| self.steps[earlier as usize].long_running;
            if step.after.iter().any(lasts) || (step.long_running && self.repeats > 1) {
                return Err(Invalid::Combination);
            }
        }
        Ok(())
    }

    /// The longest chain of steps from each step on, as the guesses of their times in
    /// milliseconds.
    pub fn critical_paths(&self) -> Vec<Vec<u64>> {
        let mut tails: Vec<Vec<u64>> =
            self.steps.iter().map(|step| vec![step.estimate_ms]).collect();
        for place in (0..self.steps.len()).rev() {
            for &earlier in &self.steps[place].after {
                let earlier = earlier as usize;
                let through: u64 =
                    self.steps[earlier].estimate_ms + tails[place].iter().sum::<u64>();
                if through > tails[earlier].iter().sum() {
                    let mut chain = vec![self.steps[earlier].estimate_ms];
                    chain.extend(&tails[place]);
                    tails[earlier] = chain;
                }
            }
        }
        tails
    }
}
