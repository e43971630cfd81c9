//! Attempts that exceed their booking: throttled first, then checkpointed or stopped.

use super::resize;
use crate::config::Size;
use crate::fact;
use crate::job::Action;
use crate::job::Attempt;
use crate::job::Cause;
use crate::job::Decision;
use crate::job::Index;
use crate::job::Job;
use crate::job::Total;
use crate::key;
use crate::time::Time;
use crate::world::World;

/// Percent of an instance's memory in use above which an attempt that exceeds its memory booking is
/// ended at once, since throttling would take too long.
const MEMORY_PRESSURE_PERCENT: u32 = 95;

/// The running attempts of one report.
#[derive(Default)]
pub(super) struct Attempts<'a> {
    running: Vec<Running<'a>>,
}

struct Running<'a> {
    key: key::Job,
    job: &'a Job,
    attempt: &'a Attempt,
    usage: Size,
}

impl<'a> Attempts<'a> {
    pub(super) fn push(
        &mut self,
        key: key::Job,
        job: &'a Job,
        attempt: &'a Attempt,
        listed: &fact::Attempt,
    ) {
        let usage = Size { accelerators: attempt.booked.accelerators, ..listed.usage };
        self.running.push(Running { key, job, attempt, usage });
    }

    /// Resizes the booking of each attempt, and acts on those that still exceed it.
    pub(super) fn decide(
        &self,
        world: &World,
        index: &Index,
        report: &fact::Report,
    ) -> Vec<Decision> {
        let Some(instance) = world.instances.get(report.instance) else { return Vec::new() };
        let booked = index.booked(report.instance);
        let mut free = instance.capacity.remaining(booked);
        let short_of_memory = self.is_short_of_memory(instance.capacity);
        let mut decisions = Vec::new();
        for one in &self.running {
            let booked = one.resize(world, &mut free, report.taken);
            if booked != one.attempt.booked {
                let (job, number) = (one.key, one.attempt.number);
                decisions.push(Decision::Resize { job, number, booked });
            }
            decisions.extend(one.enforce(world, booked, short_of_memory, report.taken));
        }
        decisions
    }

    fn is_short_of_memory(&self, capacity: Size) -> bool {
        let mut used = Total::default();
        for one in &self.running {
            used.add(one.usage);
        }
        used.memory_mb * 100 > u64::from(capacity.memory_mb) * u64::from(MEMORY_PRESSURE_PERCENT)
    }
}

impl Running<'_> {
    /// The new booking of the attempt. Subtracts its growth from `free`.
    fn resize(&self, world: &World, free: &mut Size, taken: Time) -> Size {
        let booked = self.attempt.booked;
        if self.attempt.action.is_ending() {
            return booked;
        }
        if self.usage.fits_in(booked) {
            let sample = (self.usage, taken);
            return resize::shrunk(&world.limits, self.job, self.attempt, sample).unwrap_or(booked);
        }
        let grown = resize::grown(&world.limits, self.job, booked, self.usage, *free);
        *free = free.minus(grown.minus(booked));
        grown
    }

    fn enforce(
        &self,
        world: &World,
        booked: Size,
        short_of_memory: bool,
        taken: Time,
    ) -> Option<Decision> {
        let allowed = booked.percent(100 + world.limits.tolerance_percent);
        if self.usage.fits_in(allowed) {
            return None;
        }
        let exhausts_memory = short_of_memory && self.usage.memory_mb > allowed.memory_mb;
        let (job, number) = (self.key, self.attempt.number);
        match self.attempt.action {
            Action::Run if !exhausts_memory => Some(Decision::Throttle { job, number, to: booked }),
            Action::Run => self.end(exhausts_memory),
            Action::Throttle(_) => {
                let grace = self.attempt.action_since + world.limits.throttle_grace();
                if exhausts_memory || taken >= grace { self.end(exhausts_memory) } else { None }
            }
            Action::Checkpoint(_) | Action::Stop(_) => None,
        }
    }

    /// Ends the attempt, by a checkpoint if it can write one. The attempt of a job that may not run
    /// twice is only stopped if its instance would run out of memory otherwise.
    fn end(&self, exhausts_memory: bool) -> Option<Decision> {
        let (job, number, cause) = (self.key, self.attempt.number, Cause::Overrun);
        if self.job.spec.preemptible {
            return Some(Decision::Checkpoint { job, number, cause });
        }
        let may_stop = exhausts_memory || self.job.may_repeat();
        may_stop.then_some(Decision::Stop { job, number, cause })
    }
}
