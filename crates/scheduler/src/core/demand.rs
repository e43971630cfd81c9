//! How much work queues bring, how long it takes, and what a pool still owes.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use crate::job::Job;
use crate::job::Phase;

/// Work that the first observations of a queue weigh as much as, in milliseconds: a few tasks.
const PRIOR_MS: f64 = 4_000.0;

/// Observations beyond this fade, in milliseconds of guessed work: some hundred tasks.
const MEMORY_MS: f64 = 100_000.0;

/// What has been learnt of a queue's work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queue {
    guessed_ms: f64,
    taken_ms: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Self { guessed_ms: PRIOR_MS, taken_ms: PRIOR_MS }
    }
}

impl Queue {
    /// Time taken against time guessed.
    pub(super) fn ratio(&self) -> f64 {
        self.taken_ms / self.guessed_ms
    }

    fn observe(&mut self, guessed_ms: f64, taken_ms: f64) {
        self.guessed_ms += guessed_ms;
        self.taken_ms += taken_ms;
        if self.guessed_ms > MEMORY_MS {
            let keep = MEMORY_MS / self.guessed_ms;
            self.guessed_ms *= keep;
            self.taken_ms *= keep;
        }
    }
}

/// What a pool is asked for.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// Work of accepted jobs that has not ended, in thousandths of a core times milliseconds.
    pub(super) owed: f64,
    /// Processors that lasting work books, in thousandths of a core.
    pub(super) lasting: f64,
    /// Processors of sound instances, in thousandths of a core.
    pub(super) capacity: f64,
    /// Arrivals within the window: when, and how much work.
    arrivals: VecDeque<(Time, f64)>,
}

impl Pool {
    /// Work that arrives, in thousandths of a core.
    pub(super) fn rate(&self, now: Time, window: Duration) -> f64 {
        let recent = self.arrivals.iter().filter(|(at, _)| now.since(*at) <= window);
        recent.map(|(_, work)| work).sum::<f64>() / window.as_millis() as f64
    }

    /// Processors for work that ends, in thousandths of a core.
    pub(super) fn free(&self) -> f64 {
        (self.capacity - self.lasting).max(0.0)
    }
}

impl Core {
    /// Work of a job that is left, in thousandths of a core times milliseconds.
    pub(super) fn owed(&self, job: &Job) -> f64 {
        let ratio = self.ratio(&job.queue);
        let mut total = 0.0;
        for (place, left) in job.left.iter().enumerate() {
            let step = &job.spec.steps[place % job.step_count()];
            if !step.long_running {
                total += f64::from(*left) * step.booked_cpu() as f64 * step.estimate_ms as f64;
            }
        }
        total * ratio
    }

    pub(super) fn note_arrival(&mut self, now: Time, job: &Job) {
        if job.spec.is_lasting() {
            return;
        }
        let work = self.owed(job);
        let window = self.tuning.window;
        let pool = self.demand.entry(job.service.clone()).or_default();
        pool.owed += work;
        pool.arrivals.push_back((now, work));
        while pool.arrivals.front().is_some_and(|(at, _)| now.since(*at) > window) {
            pool.arrivals.pop_front();
        }
    }

    /// Notes how long a task took.
    pub(super) fn note_duration(&mut self, queue: &str, guessed_ms: u64, taken: Duration) {
        if guessed_ms > 0 {
            let taken_ms = taken.as_secs_f64() * 1_000.0;
            let queue = self.queues.entry(queue.to_owned()).or_default();
            queue.observe(guessed_ms as f64, taken_ms);
        }
    }

    /// Sums up what each pool owes and can do.
    pub(super) fn measure(&mut self, now: Time) {
        for pool in self.demand.values_mut() {
            pool.owed = 0.0;
            pool.lasting = 0.0;
            pool.capacity = 0.0;
        }
        for id in &self.active {
            let job = &self.jobs[id];
            let owed = self.owed(job);
            let lasting = lasting_cpu(job);
            let pool = self.demand.entry(job.service.clone()).or_default();
            pool.owed += owed;
            pool.lasting += lasting;
        }
        for runner in &self.runners {
            if runner.is_sound(now) && !runner.reserved {
                let pool = self.demand.entry(runner.report.service.clone()).or_default();
                pool.capacity += runner.report.capacity.cpu as f64;
            }
        }
    }

    /// How long a pool would take over what it owes.
    pub(super) fn backlog_time(&self, _now: Time, service: &str) -> Duration {
        let Some(pool) = self.demand.get(service) else { return Duration::ZERO };
        let free = pool.free() + self.incoming(service);
        if pool.owed <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((pool.owed / free.max(1_000.0) / 1_000.0).min(3_600.0))
    }
}

/// Processors that the lasting tasks of a job book, in thousandths of a core.
fn lasting_cpu(job: &Job) -> f64 {
    if !job.spec.is_lasting() {
        return 0.0;
    }
    let tasks = job.tasks.iter().enumerate().filter(|(_, task)| task.phase != Phase::Done);
    tasks.map(|(index, _)| job.step(index as u32).booked_cpu() as f64).sum()
}
