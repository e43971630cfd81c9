//! Builds writes to the store, and applies their outcomes.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::dirty;
use crate::instance;
use crate::instance::UnstoredEnds;
use crate::job::Id;
use crate::job::Job;
use crate::job::Moved;
use crate::job::Phase;
use crate::job::State;
use crate::job::part;
use crate::job::part::Digests;
use crate::job::part::Part;

/// Bytes of an entry of a write besides its key and its value.
const ENTRY_BYTES: usize = 80;

/// Table of the store that holds rows of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// What callers have submitted.
    Bodies,
    /// The progress of jobs.
    Progress,
}

/// A row of a job to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its table.
    pub table: Table,
    /// Its key.
    pub key: String,
    /// Its new value, in JSON; None to delete it.
    pub value: Option<Vec<u8>>,
}

impl Row {
    /// Index of the first task of a row of progress; None for other rows.
    fn first(&self) -> Option<u32> {
        if self.table != Table::Progress {
            return None;
        }
        Part::parse_key(&self.key).map(|(_, first)| first)
    }

    /// Bytes that it takes up in a call to the store, which holds values in base64.
    pub fn bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, |value| value.len().div_ceil(3) * 4);
        ENTRY_BYTES + self.key.len() + value
    }
}

/// Limits of the store for the rows of jobs in one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of rows.
    pub rows: usize,
    /// Maximum length of their entries in the call, in bytes.
    pub bytes: usize,
}

impl Limits {
    /// Takes the room of as many rows as fit; returns their number.
    fn take(&mut self, rows: &[Row]) -> usize {
        let fits = |row: &&Row| {
            let fits = self.rows > 0 && row.bytes() <= self.bytes;
            if fits {
                self.rows -= 1;
                self.bytes -= row.bytes();
            }
            fits
        };
        rows.iter().take_while(fits).count()
    }
}

/// A job in the pending write.
#[derive(Clone, Debug)]
pub(super) struct Written {
    entry: dirty::Entry,
    /// Digests of the further rows of its progress after the write.
    digests: Digests,
    /// Whether the store holds its body after the write.
    body_stored: bool,
    /// Whether the write tells that the job has begun.
    begun: bool,
    /// Whether the write holds all its changes.
    whole: bool,
}

impl Written {
    pub(super) fn id(&self) -> Id {
        self.entry.id
    }
}

/// The rows of a job that is past its retention.
#[derive(Clone, Debug)]
pub(super) struct Deletion {
    pub(super) id: Id,
    pub(super) digests: Digests,
}

impl Deletion {
    fn rows(&self) -> Vec<Row> {
        let body = Row { table: Table::Bodies, key: self.id.to_string(), value: None };
        let firsts = std::iter::once(&0).chain(self.digests.keys());
        let progress = firsts.map(|&first| delete_part(self.id, first));
        std::iter::once(body).chain(progress).collect()
    }
}

fn delete_part(id: Id, first: u32) -> Row {
    Row { table: Table::Progress, key: Part::key(id, first), value: None }
}

impl Core {
    /// Whether there are changes that the store lacks.
    pub fn is_dirty(&self, now: Time) -> bool {
        !self.dirty.is_empty()
            || self.has_expiry_changes(now)
            || self.has_operations_to_record()
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

    /// Jobs that a write holds or will hold.
    pub(super) fn unstored_jobs(&self) -> impl Iterator<Item = Id> {
        let waiting = self.dirty.iter().map(|entry| entry.id);
        waiting.chain(self.writing.iter().map(Written::id))
    }

    /// Whether the store holds the current state of a job.
    pub fn is_saved(&self, id: Id) -> bool {
        !self.dirty.contains(&id) && !self.is_in_write(id)
    }

    /// Whether the pending write holds a job.
    pub(super) fn is_in_write(&self, id: Id) -> bool {
        self.writing.iter().any(|written| written.entry.id == id)
    }

    /// Builds the next write: the rows of the jobs that have waited longest, as many as the limits allow. Only
    /// one write may be pending at a time.
    ///
    /// Handles bursts of submissions: one write carries many jobs. A job whose changes exceed the limits by
    /// themselves is spread over several writes, and its tasks start after the last of them.
    pub fn begin_write(&mut self, limits: Limits) -> Vec<Row> {
        self.write_rows = limits.rows.max(1);
        let mut left = limits;
        let mut rows = self.take_deletions(&mut left);
        let entries = self.next_in_write();
        if entries.into_iter().all(|entry| self.add_to_write(entry, &mut left, &mut rows)) {
            self.add_newly_begun(&mut left, &mut rows);
        }
        let first_left = self.dirty.first_position();
        for instance in &mut self.instances {
            instance.cover_ends(first_left);
        }
        rows
    }

    /// Adds the rows of a job to a write with some limits `left`; returns whether others may follow.
    fn add_to_write(
        &mut self,
        entry: dirty::Entry,
        left: &mut Limits,
        rows: &mut Vec<Row>,
    ) -> bool {
        let Some(job) = self.jobs.get(&entry.id) else {
            self.dirty.remove(&entry.id);
            return true;
        };
        let mut changed = self.changed_rows(job);
        let mut fitting = left.take(&changed);
        let whole = fitting == changed.len();
        if !whole && !rows.is_empty() {
            return false;
        }
        // A job is accepted once the store holds its body and its progress.
        let least = 1 + usize::from(changed[0].table == Table::Bodies);
        fitting = fitting.max(least).min(changed.len());
        let later = changed.split_off(fitting);
        let body = changed.iter().find(|row| row.table == Table::Bodies);
        let body_stored = body.map_or(job.body_stored, |row| row.value.is_some());
        let begun = job.begun.is_known();
        let mut digests = job.digests.clone();
        changed.iter().for_each(|row| apply_to_digests(&mut digests, row));
        self.mark_recording(entry.id, &later);
        self.dirty.remove(&entry.id);
        if !whole {
            self.dirty.put_back(entry);
        }
        self.writing.push(Written { entry, digests, body_stored, begun, whole });
        rows.extend(changed);
        whole
    }

    /// Adds jobs to a write of which the store lacks only that they have begun, as far as there is room.
    ///
    /// Such a change keeps no other one waiting and takes no write of its own: the leader's row is renewed all the
    /// time. Most jobs have other changes before.
    fn add_newly_begun(&mut self, left: &mut Limits, rows: &mut Vec<Row>) {
        if self.isolation.is_narrow() {
            return;
        }
        let ids = self.newly_begun.iter().map(|entry| entry.id);
        let ids: Vec<Id> = ids.filter(|id| !self.is_in_write(*id)).take(left.rows).collect();
        for id in ids {
            let Some(entry) = self.dirty.append(id) else { continue };
            if !self.add_to_write(entry, left, rows) {
                // It has changed in nothing else.
                self.dirty.remove(&id);
                return;
            }
        }
    }

    /// Rows that delete jobs past their retention, which take half of a write at most.
    fn take_deletions(&mut self, left: &mut Limits) -> Vec<Row> {
        let mut share = Limits { rows: left.rows / 2, ..*left };
        let mut rows = Vec::new();
        while let Some(deletion) = self.deletions.last() {
            let more = deletion.rows();
            if share.take(&more) < more.len() {
                break;
            }
            rows.extend(more);
            self.deleting.extend(self.deletions.pop());
        }
        left.take(&rows);
        rows
    }

    /// The rows of a job that the store lacks: that under its name and those that have changed, then those that
    /// have become obsolete.
    fn changed_rows(&self, job: &Job) -> Vec<Row> {
        let id = job.id;
        let body = match (job.body_stored, job.state.is_ended() && !job.counts_after_end()) {
            (false, false) => Some(Some(part::encode(&job.body(&self.tenants)))),
            (true, true) => Some(None),
            (true, false) | (false, true) => None,
        };
        let key = id.to_string();
        let body = body.map(|value| Row { table: Table::Bodies, key: key.clone(), value });
        let name = |key: instance::Key| self.instance(key).report.id.clone();
        let progress = job.progress(&self.tenants, name);
        let value = part::encode(&progress);
        if value.len() <= self.tuning.max_row_bytes && job.digests.is_empty() {
            let progress = Row { table: Table::Progress, key, value: Some(value) };
            return body.into_iter().chain([progress]).collect();
        }
        let parts = part::split(id, &progress, self.tuning.max_row_bytes);
        let firsts: BTreeSet<u32> = parts.iter().map(|part| part.first).collect();
        let obsolete = job.digests.keys().filter(|first| !firsts.contains(first));
        let deletes: Vec<Row> = obsolete.map(|&first| delete_part(id, first)).collect();
        let changed = parts
            .into_iter()
            .filter(|part| part.first == 0 || job.digests.get(&part.first) != Some(&part.digest()));
        let puts = changed.map(|part| Row {
            table: Table::Progress,
            key: Part::key(id, part.first),
            value: Some(part.value),
        });
        body.into_iter().chain(puts).chain(deletes).collect()
    }

    /// Marks the placements of a job that the next write records: all but those in rows that are written later.
    fn mark_recording(&mut self, id: Id, later: &[Row]) {
        let first_later = later.iter().filter_map(Row::first).min();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let end = first_later.map_or(job.tasks.len(), |first| first as usize);
        for task in job.tasks.iter_mut().take(end) {
            if let Phase::Planned(key) = task.phase {
                task.phase = Phase::Recording(key);
            }
        }
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

    /// Reverts the pending write, which has failed for good: its changes go into the next ones.
    pub fn abort_write(&mut self) {
        for Written { entry, .. } in std::mem::take(&mut self.writing) {
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
        let written = std::mem::take(&mut self.writing);
        let ids: Vec<Id> = written.iter().map(|written| written.entry.id).collect();
        self.isolation.widen();
        self.deleting.clear();
        self.finish_expiry_write();
        self.finish_calls_write();
        for instance in &mut self.instances {
            instance.finish_ends_write();
        }
        for written in written {
            self.apply_job_write(now, written);
        }
        ids
    }

    /// Accepts a job that the store now holds, and releases start commands of its recorded
    /// placements if the store holds all of them.
    fn apply_job_write(&mut self, now: Time, written: Written) {
        let Written { entry, digests, body_stored, begun, whole } = written;
        let id = entry.id;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.digests = digests;
        job.body_stored = body_stored;
        if whole && job.moved == Moved::Unstored && !self.dirty.contains(&id) {
            job.moved = Moved::Stored;
        }
        if job.state == State::Storing {
            job.state = State::Active;
            job.ran_at = now;
            self.unbegun.insert(&job.queue, id);
            self.active.insert(id);
            self.schedulable.insert(id);
            self.advance_job(now, id);
        }
        if begun {
            self.mark_begun_stored(id);
        }
        if !whole {
            self.keep_recorded(id);
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let recorded = job.tasks.iter().enumerate().filter_map(|(index, task)| match task.phase {
            Phase::Recording(instance) | Phase::Recorded(instance) => {
                Some((job.task_key(index as u32), instance))
            }
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

    /// Keeps the start commands of a job until the store holds all its placements: a gang starts as a whole.
    fn keep_recorded(&mut self, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for task in &mut job.tasks {
            if let Phase::Recording(key) = task.phase {
                task.phase = Phase::Recorded(key);
            }
        }
    }
}

/// Applies a written row to the digests of the further rows of a job.
fn apply_to_digests(digests: &mut Digests, row: &Row) {
    let Some(first) = row.first().filter(|&first| first > 0) else { return };
    match &row.value {
        Some(value) => digests.insert(first, part::digest(value)),
        None => digests.remove(&first),
    };
}
