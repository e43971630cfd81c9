//! What goes into the store, and what may happen once it is there.

use fleet::time::Time;
use tracing::debug;

use super::Core;
use crate::command::Action;
use crate::command::Command;
use crate::instance;
use crate::job::Body;
use crate::job::Id;
use crate::job::Phase;
use crate::job::Progress;
use crate::job::State;
use crate::job::TaskKey;

/// What a write does to a job's body.
#[derive(Clone, Debug, PartialEq)]
pub enum BodyChange {
    /// Nothing.
    Keep,
    /// Store it.
    Put(Body),
    /// Drop it.
    Drop,
}

/// What a write does to a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The job.
    pub id: Id,
    /// Its body.
    pub body: BodyChange,
    /// Its progress; nothing where all of the job is forgotten.
    pub progress: Option<Progress>,
}

impl Core {
    /// Whether the store lacks anything.
    pub fn is_dirty(&self, now: Time) -> bool {
        !self.dirty.is_empty()
            || self.has_expiry_changes(now)
            || self.has_calls_to_record()
            || !self.deletions.is_empty()
            || self.instances.iter().any(|runner| runner.last_end_seen > runner.last_end_stored)
    }

    /// Whether the store holds a job as it is.
    pub fn is_saved(&self, id: Id) -> bool {
        !self.dirty.contains(&id) && !self.writing.contains(&id)
    }

    /// Whether a write is under way.
    pub fn is_writing(&self) -> bool {
        !self.writing.is_empty()
    }

    /// What the next write holds: `most` rows at most, a body being one and progress another. One
    /// write at a time.
    ///
    /// Answers a burst of submissions: they go into the store many at a time.
    pub fn begin_write(&mut self, most: usize) -> Vec<Row> {
        let mut rows = Vec::new();
        let expired = self.deletions.len().min(most / 2);
        self.deleting = self.deletions.drain(..expired).collect();
        for &id in &self.deleting {
            rows.push(Row { id, body: BodyChange::Drop, progress: None });
        }
        let ids = self.oldest_dirty(most - rows.len());
        for id in &ids {
            self.dirty.remove(id);
            let Some(job) = self.jobs.get_mut(id) else { continue };
            for task in &mut job.tasks {
                if let Phase::Planned(key) = task.phase {
                    task.phase = Phase::Recording(key);
                }
            }
            let body = match (job.body_stored, job.state.is_ended()) {
                (false, false) => BodyChange::Put(job.body()),
                (true, true) => BodyChange::Drop,
                (true, false) | (false, true) => BodyChange::Keep,
            };
            let runners = &self.instances;
            let name = |key: instance::Key| runners[u32::from(key) as usize].report.id.clone();
            rows.push(Row { id: *id, body, progress: Some(job.progress(name)) });
        }
        self.writing = ids;
        self.covers_all = self.dirty.is_empty();
        if self.covers_all {
            for runner in &mut self.instances {
                runner.last_end_writing = runner.last_end_seen;
            }
        }
        rows
    }

    /// Jobs that differ from what the store holds, as many as fit into so many rows.
    fn oldest_dirty(&self, most: usize) -> Vec<Id> {
        let mut room = most;
        let fitting = self.dirty.iter().take_while(|id| {
            let changes_body =
                self.jobs.get(*id).is_some_and(|job| job.body_stored == job.state.is_ended());
            let rows = 1 + usize::from(changes_body);
            let fits = rows <= room;
            room = room.saturating_sub(rows);
            fits
        });
        fitting.copied().collect()
    }

    /// The write under way has not been done, and never will be: all of it is to be written anew.
    pub fn abort_write(&mut self) {
        for id in std::mem::take(&mut self.writing) {
            self.dirty.insert(id);
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            for task in &mut job.tasks {
                if let Phase::Recording(key) = task.phase {
                    task.phase = Phase::Planned(key);
                }
            }
        }
        self.deletions.append(&mut self.deleting);
        self.abort_expiry_write();
        self.abort_calls_write();
        for runner in &mut self.instances {
            runner.last_end_writing = runner.last_end_stored;
        }
    }

    /// The write under way is in the store: jobs are accepted, and orders go out.
    pub fn finish_write(&mut self, now: Time) -> Vec<Id> {
        let ids = std::mem::take(&mut self.writing);
        self.deleting.clear();
        self.finish_expiry_write();
        self.finish_calls_write();
        if self.covers_all {
            for runner in &mut self.instances {
                runner.last_end_stored =
                    runner.last_end_stored.max(runner.last_end_writing.min(runner.last_end_seen));
            }
        }
        for id in &ids {
            self.apply_job_write(now, *id);
        }
        ids
    }

    fn apply_job_write(&mut self, now: Time, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.body_stored = !job.state.is_ended();
        if job.state == State::Storing {
            job.state = State::Active;
            self.active.insert(id);
            self.schedulable.insert(id);
            self.advance_job(now, id);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let logged = job.tasks.iter().enumerate().filter_map(|(index, task)| match task.phase {
            Phase::Recording(runner) => Some((job.task_key(index as u32), runner)),
            _ => None,
        });
        for (key, runner) in logged.collect::<Vec<_>>() {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.tasks[key.index as usize].end_presumed = false;
            }
            self.release_start(now, key, runner);
        }
    }

    /// Lets the order for a task out, unless its instance has become unusable meanwhile.
    pub(super) fn release_start(&mut self, now: Time, key: TaskKey, runner: instance::Key) {
        let target = self.instance(runner);
        let usable = target.listed
            && target.synced
            && !target.outcome_unknown
            && !target.reserved
            && !target.report.draining
            && target.unresponsive_since.is_none()
            && target.expiry == instance::Expiry::None;
        if !usable {
            debug!(event = "unplace", task = ?key, runner = target.report.id, reason = "unusable");
            self.unassign(now, key);
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let name = job.task_name(key.index);
        let payload = job.payload.clone();
        job.begun = true;
        let task = &mut job.tasks[key.index as usize];
        task.phase = Phase::Starting(runner);
        task.since = now;
        let action = Action::Start { payload, checkpoint: task.checkpoint.clone() };
        self.commands.push(Command { instance: runner, task: key, name, run: task.run, action });
    }
}
