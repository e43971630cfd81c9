//! Resizes the booking of an attempt from its reported usage, which may be out of date.
//!
//! A booking grows to the reported usage at once, and shrinks slowly, since usage may rise again at
//! any moment. It never shrinks below a percentage of the job's need.

use crate::config::Size;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::Limits;
use crate::time::Time;

/// Margin above the reported usage when a booking shrinks, percent.
const MARGIN_PERCENT: u32 = 25;

/// Divisor of the need that gives the step of a resize: a booking grows by a multiple of the step
/// and shrinks by at most one step.
const MAX_STEP_DIVISOR: u32 = 8;

/// Divisor of the need that gives the smallest reduction of a booking.
const MIN_STEP_DIVISOR: u32 = 16;

/// Maximum booking of an attempt: the larger of the job's need and
/// [`most_percent`](Limits::most_percent) of its declared size.
pub(super) fn ceiling(limits: &Limits, job: &Job) -> Size {
    job.need.component_max(job.spec.size.percent(limits.most_percent))
}

/// The larger booking of an attempt that uses more than is booked. It grows by at most `free`, the
/// free capacity of its instance.
pub(super) fn grown(limits: &Limits, job: &Job, booked: Size, usage: Size, free: Size) -> Size {
    let step = fraction(job.need, MAX_STEP_DIVISOR);
    let excess = usage.minus(booked);
    let wanted = Size {
        milli_cores: round_up(excess.milli_cores, step.milli_cores),
        memory_mb: round_up(excess.memory_mb, step.memory_mb),
        accelerators: 0,
    };
    let cap = ceiling(limits, job).component_max(booked);
    booked.plus(wanted.component_min(free)).component_min(cap)
}

/// The booking of an attempt that uses less than is booked; `None` if it is too early for a resize
/// or the saving is too small.
pub(super) fn shrunk(
    limits: &Limits,
    job: &Job,
    attempt: &Attempt,
    (usage, taken): (Size, Time),
) -> Option<Size> {
    if taken < attempt.started.max(attempt.corrected) + limits.correct() {
        return None;
    }
    let booked = attempt.booked;
    let floor = Size {
        milli_cores: job.need.percent(limits.least_cores_percent).milli_cores,
        memory_mb: job.need.percent(limits.least_memory_percent).memory_mb,
        accelerators: booked.accelerators,
    };
    let wanted = usage.percent(100 + MARGIN_PERCENT).component_max(floor);
    let next = wanted
        .component_max(booked.minus(fraction(job.need, MAX_STEP_DIVISOR)))
        .component_min(booked);
    let next = Size { accelerators: booked.accelerators, ..next };
    is_worthwhile(job, booked.minus(next)).then_some(next)
}

fn is_worthwhile(job: &Job, saved: Size) -> bool {
    let min_saving = fraction(job.need, MIN_STEP_DIVISOR);
    let enough = |saved: u32, min: u32| saved > 0 && saved >= min;
    enough(saved.milli_cores, min_saving.milli_cores)
        || enough(saved.memory_mb, min_saving.memory_mb)
}

const fn fraction(size: Size, divisor: u32) -> Size {
    Size {
        milli_cores: size.milli_cores / divisor,
        memory_mb: size.memory_mb / divisor,
        accelerators: 0,
    }
}

fn round_up(amount: u32, step: u32) -> u32 {
    amount.div_ceil(step.max(1)).saturating_mul(step.max(1))
}
