//! Corrects what is booked for an attempt, from usage that is reported late.
//!
//! What is booked grows at once to what is in use, and shrinks slowly: usage of a moment ago says
//! little of the next. It never shrinks below a part of the size declared.

use crate::config::Size;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::Limits;
use crate::time::Time;

/// What is kept beside the usage seen, hundredths of it.
const MARGIN_PERCENT: u32 = 25;

/// Largest and smallest step of a correction, as parts of the size needed.
const LARGEST_STEP: u32 = 8;
const SMALLEST_STEP: u32 = 16;

/// The most that may be booked for an attempt: as declared or learnt, with a bound.
pub(super) fn ceiling(limits: &Limits, job: &Job) -> Size {
    job.need.component_max(job.spec.size.percent(limits.most_percent))
}

/// What to book for an attempt that uses more than is booked, where `room` is left beside it.
pub(super) fn grown(limits: &Limits, job: &Job, booked: Size, usage: Size, room: Size) -> Size {
    let step = part(job.need, LARGEST_STEP);
    let excess = usage.minus(booked);
    let wanted = Size {
        milli_cores: round_up(excess.milli_cores, step.milli_cores),
        memory_mb: round_up(excess.memory_mb, step.memory_mb),
        accelerators: 0,
    };
    let cap = ceiling(limits, job).component_max(booked);
    booked.plus(wanted.component_min(room)).component_min(cap)
}

/// What to book for an attempt that uses less than is booked, where that is worth a correction.
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
    let next =
        wanted.component_max(booked.minus(part(job.need, LARGEST_STEP))).component_min(booked);
    let next = Size { accelerators: booked.accelerators, ..next };
    is_worth_it(job, booked.minus(next)).then_some(next)
}

fn is_worth_it(job: &Job, saved: Size) -> bool {
    let least = part(job.need, SMALLEST_STEP);
    let worth = |saved: u32, least: u32| saved > 0 && saved >= least;
    worth(saved.milli_cores, least.milli_cores) || worth(saved.memory_mb, least.memory_mb)
}

const fn part(size: Size, parts: u32) -> Size {
    Size {
        milli_cores: size.milli_cores / parts,
        memory_mb: size.memory_mb / parts,
        accelerators: 0,
    }
}

fn round_up(amount: u32, step: u32) -> u32 {
    amount.div_ceil(step.max(1)).saturating_mul(step.max(1))
}
