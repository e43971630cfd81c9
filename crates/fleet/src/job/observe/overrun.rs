//! Attempts that use more than is booked: throttled, then checkpointed, then stopped.

use super::correct;
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

/// Part of an instance's memory in use beyond which there is no time to throttle, hundredths.
const PRESSING_PERCENT: u32 = 95;

/// The running attempts of one report.
#[derive(Default)]
pub(super) struct Load<'a> {
    rows: Vec<Row<'a>>,
}

struct Row<'a> {
    key: key::Job,
    job: &'a Job,
    attempt: &'a Attempt,
    usage: Size,
}

impl<'a> Load<'a> {
    pub(super) fn push(
        &mut self,
        key: key::Job,
        job: &'a Job,
        attempt: &'a Attempt,
        listed: &fact::Attempt,
    ) {
        let usage = Size { accelerators: attempt.booked.accelerators, ..listed.usage };
        self.rows.push(Row { key, job, attempt, usage });
    }

    /// Corrects what is booked for each, and acts on those that go beyond that.
    pub(super) fn decide(
        &self,
        world: &World,
        index: &Index,
        report: &fact::Report,
    ) -> Vec<Decision> {
        let Some(instance) = world.instances.get(report.instance) else { return Vec::new() };
        let booked = index.booked(report.instance);
        let mut room = instance.capacity.remaining(booked);
        let pressing = self.is_pressing(instance.capacity);
        let mut decisions = Vec::new();
        for row in &self.rows {
            let booked = row.book(world, &mut room, report.taken);
            if booked != row.attempt.booked {
                let (job, number) = (row.key, row.attempt.number);
                decisions.push(Decision::Resize { job, number, booked });
            }
            decisions.extend(row.act(world, booked, pressing, report.taken));
        }
        decisions
    }

    fn is_pressing(&self, capacity: Size) -> bool {
        let mut used = Total::default();
        for row in &self.rows {
            used.add(row.usage);
        }
        used.memory_mb * 100 > u64::from(capacity.memory_mb) * u64::from(PRESSING_PERCENT)
    }
}

impl Row<'_> {
    /// What to book, taking what it grows by out of `room`.
    fn book(&self, world: &World, room: &mut Size, taken: Time) -> Size {
        let booked = self.attempt.booked;
        if self.attempt.action.is_ending() {
            return booked;
        }
        if self.usage.fits_in(booked) {
            let sample = (self.usage, taken);
            return correct::shrunk(&world.limits, self.job, self.attempt, sample)
                .unwrap_or(booked);
        }
        let grown = correct::grown(&world.limits, self.job, booked, self.usage, *room);
        *room = room.minus(grown.minus(booked));
        grown
    }

    fn act(&self, world: &World, booked: Size, pressing: bool, taken: Time) -> Option<Decision> {
        let allowed = booked.percent(100 + world.limits.tolerance_percent);
        if self.usage.fits_in(allowed) {
            return None;
        }
        let bursting = pressing && self.usage.memory_mb > allowed.memory_mb;
        let (job, number) = (self.key, self.attempt.number);
        match self.attempt.action {
            Action::Run if !bursting => Some(Decision::Throttle { job, number, to: booked }),
            Action::Run => self.end(bursting),
            Action::Throttle(_) => {
                let grace = self.attempt.action_since + world.limits.throttle_grace();
                if bursting || taken >= grace { self.end(bursting) } else { None }
            }
            Action::Checkpoint(_) | Action::Stop(_) => None,
        }
    }

    /// Ends the attempt, by a checkpoint where it can write one. One that may not run twice is only
    /// stopped where its instance would run out of memory.
    fn end(&self, bursting: bool) -> Option<Decision> {
        let (job, number, cause) = (self.key, self.attempt.number, Cause::Overrun);
        if self.job.spec.preemptible {
            return Some(Decision::Checkpoint { job, number, cause });
        }
        let may_stop = bursting || self.job.may_repeat();
        may_stop.then_some(Decision::Stop { job, number, cause })
    }
}
