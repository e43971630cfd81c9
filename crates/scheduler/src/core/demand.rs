//! How much work queues bring, how long it takes, and what a pool still owes.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::time::Time;

use super::Core;
use super::placement::Class;
use crate::job::Job;
use crate::job::Phase;

/// Observations before what was learnt replaces the caller's guess.
const MIN_SAMPLES: f64 = 8.0;

/// Observations beyond this fade.
const MAX_SAMPLES: f64 = 300.0;

/// Least spread of guesses (variance of their logarithms) from which a slope can be learnt.
const MIN_VARIANCE: f64 = 0.02;

/// What has been learnt of a queue's work: a line through the logarithms of guessed and taken
/// times.
///
/// Answers guesses that are far off: the farther they tend to be, the less they count against the
/// queue's usual time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimator {
    samples: f64,
    estimate_sum: f64,
    duration_sum: f64,
    estimate_square_sum: f64,
    product_sum: f64,
}

impl Estimator {
    /// The time that a guess stands for, in milliseconds.
    pub(super) fn expected_ms(&self, guess_ms: u64) -> f64 {
        let guess = guess_ms as f64;
        if self.samples < MIN_SAMPLES || guess_ms == 0 {
            return guess;
        }
        let guessed = self.estimate_sum / self.samples;
        let taken = self.duration_sum / self.samples;
        let spread = self.estimate_square_sum / self.samples - guessed * guessed;
        let common = self.product_sum / self.samples - guessed * taken;
        let slope = if spread > MIN_VARIANCE { (common / spread).clamp(0.0, 1.0) } else { 1.0 };
        (taken + slope * (guess.ln() - guessed)).exp()
    }

    fn observe(&mut self, guess_ms: u64, taken: Duration) {
        let guess = (guess_ms as f64).max(1.0).ln();
        let taken = (taken.as_secs_f64() * 1_000.0).max(1.0).ln();
        if self.samples >= MAX_SAMPLES {
            let keep = (MAX_SAMPLES - 1.0) / MAX_SAMPLES;
            self.samples *= keep;
            self.estimate_sum *= keep;
            self.duration_sum *= keep;
            self.estimate_square_sum *= keep;
            self.product_sum *= keep;
        }
        self.samples += 1.0;
        self.estimate_sum += guess;
        self.duration_sum += taken;
        self.estimate_square_sum += guess * guess;
        self.product_sum += guess * taken;
    }
}

/// What a pool is asked for.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// Work of accepted jobs that has not ended, in thousandths of a core times milliseconds.
    pub(super) backlog: f64,
    /// Processors that lasting work books, in thousandths of a core.
    pub(super) long_running: f64,
    /// Processors that other tasks book or wait for, in thousandths of a core.
    pub(super) requested: f64,
    /// Processors of sound instances, in thousandths of a core.
    pub(super) capacity: f64,
    /// Arrivals within the window: when, and how much work.
    arrivals: VecDeque<(Time, f64)>,
}

impl Pool {
    /// Work that arrives, in thousandths of a core.
    pub(super) fn rate(&self, now: Time, window: Duration) -> f64 {
        self.rate_until(now, window)
    }

    /// Work that arrived in a window up to `end`, in thousandths of a core.
    pub(super) fn rate_until(&self, end: Time, window: Duration) -> f64 {
        let within = |at: Time| at <= end && end.since(at) <= window;
        let recent = self.arrivals.iter().filter(|(at, _)| within(*at));
        recent.map(|(_, work)| work).sum::<f64>() / window.as_millis() as f64
    }

    /// Processors for work that ends, in thousandths of a core.
    pub(super) fn available(&self) -> f64 {
        (self.capacity - self.long_running).max(0.0)
    }
}

impl Core {
    /// Work of a job that is left, in thousandths of a core times milliseconds.
    pub(super) fn remaining_work(&self, job: &Job) -> f64 {
        let mut total = 0.0;
        for (place, left) in job.unfinished.iter().enumerate() {
            let step = &job.spec.steps[place % job.step_count()];
            if !step.long_running {
                let time =
                    self.expected_duration(&job.queue, step.estimate_ms).as_secs_f64() * 1_000.0;
                total += f64::from(*left) * step.booked_cpu() as f64 * time;
            }
        }
        total
    }

    pub(super) fn record_arrival(&mut self, now: Time, job: &Job) {
        if job.spec.is_long_running() {
            return;
        }
        let work = self.remaining_work(job);
        let window = self.tuning.demand_window;
        let pool = self.demand.entry(job.service.clone()).or_default();
        pool.backlog += work;
        pool.arrivals.push_back((now, work));
        while pool.arrivals.front().is_some_and(|(at, _)| now.since(*at) > window * 2) {
            pool.arrivals.pop_front();
        }
    }

    /// Notes how long a task took.
    pub(super) fn record_duration(&mut self, queue: &str, guessed_ms: u64, taken: Duration) {
        if guessed_ms > 0 {
            self.estimators.entry(queue.to_owned()).or_default().observe(guessed_ms, taken);
        }
    }

    /// Sums up what each pool owes and can do.
    pub(super) fn update_demand(&mut self, now: Time) {
        for pool in self.demand.values_mut() {
            pool.backlog = 0.0;
            pool.long_running = 0.0;
            pool.requested = 0.0;
            pool.capacity = 0.0;
        }
        for id in &self.active {
            let job = &self.jobs[id];
            let owed = self.remaining_work(job);
            let lasting = long_running_cpu(job);
            let class = self.rank(now, job).map(|turn| turn.class);
            let asked = requested_cpu(job, class);
            let pool = self.demand.entry(job.service.clone()).or_default();
            pool.backlog += owed;
            pool.long_running += lasting;
            pool.requested += asked;
        }
        for runner in &self.instances {
            if runner.is_healthy(now) && !runner.reserved {
                let pool = self.demand.entry(runner.report.service.clone()).or_default();
                pool.capacity += runner.report.capacity.cpu as f64;
            }
        }
    }

    /// How long a pool would take over what it owes.
    pub(super) fn backlog_time(&self, _now: Time, service: &str) -> Duration {
        let Some(pool) = self.demand.get(service) else { return Duration::ZERO };
        let free = pool.available() + self.incoming_cpu(service);
        if pool.backlog <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((pool.backlog / free.max(1_000.0) / 1_000.0).min(3_600.0))
    }
}

/// Processors that the lasting tasks of a job book, in thousandths of a core.
fn long_running_cpu(job: &Job) -> f64 {
    if !job.spec.is_long_running() {
        return 0.0;
    }
    let tasks = job.tasks.iter().enumerate().filter(|(_, task)| task.phase != Phase::Done);
    tasks.map(|(index, _)| job.step(index as u32).booked_cpu() as f64).sum()
}

/// Processors that the other tasks of a job book, and those that they wait for by what can still
/// be had from them, in thousandths of a core.
///
/// Answers a pool with a backlog that is late already: it must not keep machines from one whose
/// work can be on time.
fn requested_cpu(job: &Job, class: Option<Class>) -> f64 {
    let weight = match class {
        None | Some(Class::LongRunning) => 0.0,
        Some(Class::OnTime) => 1.0,
        Some(Class::Late) => LATE_WEIGHT,
        Some(Class::Overdue) => OVERDUE_WEIGHT,
    };
    let mut asked = 0.0;
    for (index, task) in job.tasks.iter().enumerate() {
        let step = job.step(index as u32);
        if step.long_running {
            continue;
        }
        let cpu = step.booked_cpu() as f64;
        asked += match task.phase {
            Phase::Waiting | Phase::Done => 0.0,
            Phase::Ready => cpu * weight,
            _ => cpu,
        };
    }
    asked
}

/// Weight of late work in what a pool asks for: as much as it is worth to a caller.
const LATE_WEIGHT: f64 = 0.3;

/// Weight of work that only has to end.
const OVERDUE_WEIGHT: f64 = 0.1;
