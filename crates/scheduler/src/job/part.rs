//! Splits the progress of a job into rows that the store takes, whatever the number of its tasks and the length
//! of their checkpoints.
//!
//! A job whose progress fits into one row has one, under its name. That of a larger job holds its state and
//! first tasks; further rows hold the others, in ranges of indexes with fixed bounds, so that a change rewrites
//! few of them.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use serde::Serialize;
use serde::Serializer;
use serde_json::value::RawValue;
use tracing::warn;

use super::Id;
use super::Placement;
use super::Progress;
use super::State;

/// Number of tasks in a range.
const RANGE: u32 = 256;

/// Separates the name of a job from the index of a row's first task.
const SEPARATOR: char = '.';

/// Bytes of the row under a job's name besides its tasks and the names of its queue and its tenant.
const HEAD_BYTES: usize = 96;

/// Digests of the values of a job's further rows, by the index of their first task.
pub type Digests = BTreeMap<u32, u64>;

/// A row of a job's progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Index of its first task; zero for the row under the job's name.
    pub first: u32,
    /// Its value, in JSON.
    pub value: Vec<u8>,
}

impl Part {
    /// The key of the row of a job whose first task has an index.
    pub fn key(id: Id, first: u32) -> String {
        if first == 0 { id.to_string() } else { format!("{id}{SEPARATOR}{first}") }
    }

    /// The job and the index that a key names; None if it is the key of no such row.
    pub fn parse_key(key: &str) -> Option<(Id, u32)> {
        match key.split_once(SEPARATOR) {
            Some((id, first)) => {
                let first = first.parse().ok().filter(|&first| first > 0)?;
                Some((id.parse().ok()?, first))
            }
            None => Some((key.parse().ok()?, 0)),
        }
    }

    /// Digest of its value.
    pub fn digest(&self) -> u64 {
        digest(&self.value)
    }
}

/// Digest of a row's value.
pub fn digest(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The row under a job's name: [`Progress`] with encoded tasks.
#[derive(Serialize)]
struct Head<'row> {
    state: State,
    queue: &'row str,
    #[serde(rename = "t", skip_serializing_if = "str::is_empty")]
    tenant: &'row str,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    moved: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    begun: bool,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    tasks: &'row [Task],
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    has_parts: bool,
}

/// An encoded [`Placement`].
struct Task {
    index: u32,
    json: Box<RawValue>,
}

impl Task {
    /// Encodes a task. Leaves out a checkpoint that no row can hold, so that the task resumes from the beginning
    /// if the leader changes.
    fn encode(id: Id, task: &Placement, max_bytes: usize) -> Self {
        let index = task.index;
        let json = raw(task);
        if json.get().len() < max_bytes || task.checkpoint.is_empty() {
            return Self { index, json };
        }
        let bytes = task.checkpoint.len();
        warn!(event = "checkpoint", job = %id, index, bytes, reason = "longer than a row");
        Self { index, json: raw(&Placement { checkpoint: String::new(), ..task.clone() }) }
    }

    /// Its length in a list.
    fn len(&self) -> usize {
        self.json.get().len() + 1
    }

    /// The range of indexes that it is in.
    const fn range(&self) -> u32 {
        self.index / RANGE
    }
}

impl Serialize for Task {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.json.serialize(serializer)
    }
}

/// Splits the progress of a job into rows whose values have at most `max_bytes`, the one under the job's name
/// first. A single task longer than that is a row all the same.
pub fn split(id: Id, progress: &Progress, max_bytes: usize) -> Vec<Part> {
    let whole = encode(progress);
    if whole.len() <= max_bytes {
        return vec![Part { first: 0, value: whole }];
    }
    let (state, queue, tenant) =
        (progress.state, progress.queue.as_str(), progress.tenant.as_str());
    let free_bytes = max_bytes.saturating_sub(HEAD_BYTES + 2 * (queue.len() + tenant.len()));
    let tasks = progress.tasks.iter().map(|task| Task::encode(id, task, free_bytes));
    let tasks: Vec<Task> = tasks.collect();
    let in_head = match tasks.first() {
        Some(first) if first.range() == 0 => group_len(&tasks, free_bytes),
        _ => 0,
    };
    let (group, mut others) = tasks.split_at(in_head);
    let (moved, begun, has_parts) = (progress.moved, progress.begun, !others.is_empty());
    let head = Head { state, queue, tenant, moved, begun, tasks: group, has_parts };
    let mut parts = vec![Part { first: 0, value: encode(&head) }];
    while let Some(first) = others.first() {
        let (group, rest) = others.split_at(group_len(others, max_bytes));
        parts.push(Part { first: first.index, value: encode(&group) });
        others = rest;
    }
    parts
}

/// Number of tasks from the first on that are in its range and fit into a row together; at least one.
fn group_len(tasks: &[Task], max_bytes: usize) -> usize {
    let range = tasks.first().map_or(0, Task::range);
    let mut bytes = 2;
    let fitting = tasks.iter().take_while(|task| {
        bytes += task.len();
        task.range() == range && bytes <= max_bytes
    });
    fitting.count().max(1)
}

/// A value in JSON.
fn raw(value: &impl Serialize) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).expect("rows hold numbers, texts and lists only")
}

/// A row's value: a struct in JSON.
pub fn encode(row: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(row).expect("rows hold numbers, texts and lists only")
}

/// Progress of jobs and the digests of their rows, as the rows of the progress table hold them.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    /// Progress by job.
    pub progress: BTreeMap<Id, Progress>,
    /// Digests of the further rows of each of these jobs.
    pub digests: BTreeMap<Id, Digests>,
    /// Keys of rows that can't be decoded, with the reason.
    pub unreadable: Vec<(String, String)>,
}

/// Puts the rows of the progress table together, given as keys and values in the order of their keys. Skips rows
/// with other keys.
pub fn assemble<'row>(rows: impl IntoIterator<Item = (&'row str, &'row [u8])>) -> Assembly {
    let mut assembly = Assembly::default();
    for (key, value) in rows {
        let Some((id, first)) = Part::parse_key(key) else { continue };
        let read = if first == 0 {
            serde_json::from_slice(value).map(|head: Progress| {
                assembly.progress.insert(id, head);
            })
        } else {
            serde_json::from_slice(value).map(|tasks: Vec<Placement>| {
                // The row under the job's name comes first.
                let progress = assembly.progress.get_mut(&id).filter(|it| it.has_parts);
                if let Some(progress) = progress {
                    tasks.into_iter().for_each(|task| progress.merge(task));
                }
            })
        };
        match read {
            Ok(()) if first == 0 => {}
            Ok(()) => {
                assembly.digests.entry(id).or_default().insert(first, digest(value));
            }
            Err(error) => assembly.unreadable.push((key.to_owned(), error.to_string())),
        }
    }
    assembly
}
