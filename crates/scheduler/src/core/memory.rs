//! Bounds the memory that jobs take up at the leader.

use super::Core;
use crate::job;
use crate::job::Id;
use crate::job::Job;
use crate::job::Spec;

impl Core {
    /// Memory that all jobs take up, in bytes; an estimate.
    pub const fn job_memory(&self) -> usize {
        self.job_memory
    }

    /// Whether there is memory for another job. There always is for a job that is alone.
    ///
    /// Handles callers that submit jobs which wait for long and so take no time of any pool: repeated ones that
    /// are due later, long-running ones that fit nowhere, and such as are large beside their work.
    pub(super) fn has_memory(&self, spec: &Spec) -> bool {
        let more = job::memory(spec);
        self.job_memory == 0 || self.job_memory.saturating_add(more) <= self.tuning.max_job_memory
    }

    /// Adds a job.
    pub(super) fn insert_job(&mut self, id: Id, job: Job) {
        self.job_memory += job.memory;
        let replaced = self.jobs.insert(id, job);
        self.job_memory -= replaced.map_or(0, |job| job.memory);
    }

    /// Removes a job.
    pub(super) fn remove_job(&mut self, id: Id) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.job_memory -= job.memory;
        Some(job)
    }
}
