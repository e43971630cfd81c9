//! The two rows that persist a job: its body, written once, and its progress.

use serde::Deserialize;
use serde::Serialize;

use super::Spec;
use super::State;
use super::Terms;
use crate::config::Cap;

/// A job as its caller submitted it. Deleted once the job has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// Name of the queue.
    pub queue: String,
    /// Service whose instances ran the queue's tasks when the job was submitted.
    pub service: String,
    /// The store's clock at submission, in milliseconds.
    pub submitted_ms: u64,
    /// Its specification.
    pub spec: Spec,
    /// Terms under which it was accepted; None in rows of builds that did not store them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<Terms>,
    /// Name of the tenant on whose behalf it runs; empty if it has none, as in rows of builds that knew no tenants.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// Cap of that tenant when the row was written, for a leader whose configuration does not name the tenant.
    #[serde(default, skip_serializing_if = "Cap::is_unlimited")]
    pub cap: Cap,
}

/// Progress of a job, in one row or several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State of the job as a whole.
    pub state: State,
    /// Name of the queue.
    pub queue: String,
    /// Name of the tenant on whose behalf it runs; empty if it has none. Nodes that answer without the leader go by it.
    #[serde(rename = "t", default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// Whether its queue has had another service since the job was accepted.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub moved: bool,
    /// Whether an instance is known to have started a run of the job. Rows of builds that did not store it lack it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub begun: bool,
    /// Tasks that have been placed at least once, in order of their indexes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<Placement>,
    /// Whether further rows hold tasks, too; see [`super::part`].
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_parts: bool,
}

impl Progress {
    /// Whether the job has begun, as far as the row tells.
    pub fn has_begun(&self) -> bool {
        self.begun || self.tasks.iter().any(Placement::has_begun)
    }

    /// Adds a task of a further row. Of a task that is in two rows, the newest run counts: one is left from
    /// before the tasks were spread over other rows.
    pub(super) fn merge(&mut self, task: Placement) {
        match self.tasks.binary_search_by_key(&task.index, |known| known.index) {
            Ok(at) if (self.tasks[at].run, self.tasks[at].done) < (task.run, task.done) => {
                self.tasks[at] = task;
            }
            Ok(_) => {}
            Err(at) => self.tasks.insert(at, task),
        }
    }
}

/// Progress of a task, and where its newest run was placed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Index among the job's tasks.
    #[serde(rename = "i")]
    pub index: u32,
    /// Number of its newest run.
    #[serde(rename = "r")]
    pub run: u32,
    /// Number of failed runs.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero_u32")]
    pub failures: u32,
    /// Whether it is done.
    #[serde(rename = "d", default, skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Instance on which the newest run may be.
    #[serde(rename = "o", default, skip_serializing_if = "String::is_empty")]
    pub instance: String,
    /// Incarnation of that instance: Unix time of its process start in milliseconds; zero if
    /// unknown.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero_u64")]
    pub incarnation: u64,
    /// Newest checkpoint; empty if there is none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Number of instances that have crashed under it since it last proved harmless.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero_u32")]
    pub crashes: u32,
    /// How many of these crashes came when the run was not known to have started.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero_u32")]
    pub presumed_crashes: u32,
    /// Whether it runs apart from others, since it may have caused a crash.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
    /// Number of the run that was last evicted; zero if none was, or a later run has worked at full
    /// speed since.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_u32")]
    pub evicted: u32,
}

impl Placement {
    /// Whether an instance has started a run of the task, as far as the row tells: the newest run may have been
    /// refused.
    fn has_begun(&self) -> bool {
        self.done
            || self.failures > 0
            || self.crashes > self.presumed_crashes
            || !self.checkpoint.is_empty()
    }
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

fn is_zero_u64(value: &u64) -> bool {
    *value == 0
}
