//! Builds writes to the store, and applies their outcomes.

use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::dirty;
use crate::instance;
use crate::instance::UnstoredEnds;
use crate::job::Body;
use crate::job::Id;
use crate::job::Phase;
use crate::job::Progress;
use crate::job::State;

/// Change of a job's body in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum BodyChange {
    /// No change.
    Keep,
    /// Store it.
    Put(Body),
    /// Delete it.
    Drop,
}

/// Change of a job's rows in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The job.
    pub id: Id,
    /// Change of its body.
    pub body: BodyChange,
    /// Its new progress; None deletes the row.
    pub progress: Option<Progress>,
}

impl Core {
    /// Whether there are changes that the store lacks.
    pub fn is_dirty(&self, now: Time) -> bool {
        !self.dirty.is_empty()
            || self.has_expiry_changes(now)
            || self.has_calls_to_record()
            || !self.deletions.is_empty()
            || self
                .instances
                .iter()
                .any(|instance| instance.last_end_seen > instance.last_end_stored)
    }

    /// Number of jobs with changes that the store lacks, those in the pending write apart.
    pub fn unwritten_jobs(&self) -> usize {
        self.dirty.len()
    }

    /// Whether the store holds the current state of a job.
    pub fn is_saved(&self, id: Id) -> bool {
        !self.dirty.contains(&id) && !self.is_in_write(id)
    }

    /// Whether the pending write holds a job.
    pub(super) fn is_in_write(&self, id: Id) -> bool {
        self.writing.iter().any(|entry| entry.id == id)
    }

    /// Whether a write that holds jobs is pending.
    pub fn is_writing(&self) -> bool {
        !self.writing.is_empty()
    }

    /// Builds the next write, of at most `max` rows; a body is one row and progress another. Only
    /// one write may be pending at a time.
    ///
    /// Handles bursts of submissions: one write carries many jobs.
    pub fn begin_write(&mut self, max: usize) -> Vec<Row> {
        self.write_rows = max;
        let mut rows = Vec::new();
        let deleted = self.deletions.len().min(max / 4);
        self.deleting = self.deletions.drain(..deleted).collect();
        for &id in &self.deleting {
            rows.push(Row { id, body: BodyChange::Drop, progress: None });
        }
        let entries = self.oldest_dirty(max - 2 * rows.len());
        for dirty::Entry { id, .. } in &entries {
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
            let instances = &self.instances;
            let name = |key: instance::Key| instances[u32::from(key) as usize].report.id.clone();
            rows.push(Row { id: *id, body, progress: Some(job.progress(name)) });
        }
        self.writing = entries;
        let first_left = self.dirty.first_position();
        for instance in &mut self.instances {
            instance.cover_ends(first_left);
        }
        rows
    }

    /// Whether more jobs have changed than the next write holds.
    ///
    /// Handles a store, or a link to it, that is slower than the jobs change: what is placed now would
    /// have to wait for more than one write, and would be placed with less knowledge.
    pub(super) fn writes_lag(&self) -> bool {
        self.dirty.len() > self.write_rows
    }

    /// Time until a job that is submitted now is stored; zero while the next write holds all changes.
    pub(super) fn store_backlog_time(&self) -> Duration {
        if !self.writes_lag() {
            return Duration::ZERO;
        }
        self.write_interval.mul_f64(self.dirty.len() as f64 / self.write_rows as f64)
    }

    /// Queues the newest ends that an instance has reported: the store covers them once it holds
    /// all jobs that have changed so far.
    ///
    /// Handles more changes than one write carries: ends are covered in the order of the jobs that
    /// they changed, instead of only when no change is left to write.
    pub(super) fn queue_ends(&mut self, key: instance::Key) {
        let position = self.dirty.next_position();
        let instance = self.instance_mut(key);
        let last = instance.last_end_seen;
        let newest = instance.unstored_ends.back().map_or(instance.last_end_stored, |it| it.last);
        if last > newest {
            instance.unstored_ends.push_back(UnstoredEnds { last, position });
        }
    }

    /// The changed jobs that have waited longest, as many as fit into `max` rows.
    fn oldest_dirty(&self, max: usize) -> Vec<dirty::Entry> {
        let mut free_rows = max;
        let fitting = self.dirty.iter().take_while(|entry| {
            let changes_body =
                self.jobs.get(&entry.id).is_some_and(|job| job.body_stored == job.state.is_ended());
            let rows = 1 + usize::from(changes_body);
            let fits = rows <= free_rows;
            free_rows = free_rows.saturating_sub(rows);
            fits
        });
        fitting.collect()
    }

    /// Reverts the pending write, which has failed for good: its changes go into the next ones.
    pub fn abort_write(&mut self) {
        for entry in std::mem::take(&mut self.writing) {
            self.dirty.put_back(entry);
            let id = entry.id;
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
        for instance in &mut self.instances {
            instance.last_end_writing = instance.last_end_stored;
        }
    }

    /// Completes the pending write, which the store now holds: accepts its jobs and releases their
    /// start commands. Returns its jobs.
    pub fn finish_write(&mut self, now: Time) -> Vec<Id> {
        if let Some(last) = self.written_at {
            self.write_interval = (self.write_interval * 3 + now.since(last)) / 4;
        }
        self.written_at = (!self.dirty.is_empty()).then_some(now);
        let entries = std::mem::take(&mut self.writing);
        let ids: Vec<Id> = entries.iter().map(|entry| entry.id).collect();
        self.deleting.clear();
        self.finish_expiry_write();
        self.finish_calls_write();
        for instance in &mut self.instances {
            instance.finish_ends_write();
        }
        for id in &ids {
            self.apply_job_write(now, *id);
        }
        ids
    }

    /// Accepts a job that the store now holds, and releases start commands of its recorded
    /// placements.
    fn apply_job_write(&mut self, now: Time, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.body_stored = !job.state.is_ended();
        if job.state == State::Storing {
            job.state = State::Active;
            job.ran_at = now;
            self.unbegun.insert(&job.queue, id);
            self.active.insert(id);
            self.schedulable.insert(id);
            self.advance_job(now, id);
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let recorded = job.tasks.iter().enumerate().filter_map(|(index, task)| match task.phase {
            Phase::Recording(instance) => Some((job.task_key(index as u32), instance)),
            _ => None,
        });
        let recorded: Vec<_> = recorded.collect();
        if let Some(job) = self.jobs.get_mut(&id) {
            for (key, _) in &recorded {
                job.tasks[key.index as usize].end_presumed = false;
            }
        }
        self.release_starts(now, &recorded);
    }
}
