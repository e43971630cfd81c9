//! How much to book for a job's next attempt.

use crate::config::Size;
use crate::job::Job;
use crate::job::index::Book;
use crate::world::World;

/// A job and what its next attempt is booked for.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Booking<'a> {
    pub(in crate::job) job: &'a Job,
    pub(in crate::job) size: Size,
}

impl<'a> Booking<'a> {
    pub(in crate::job) fn of(world: &World, book: &Book, job: &'a Job) -> Self {
        let learnt = book.kinds.get(&job.kind).and_then(|kind| kind.learnt());
        let size = learnt.map_or(job.need, |learnt| bounded(world, job, learnt));
        Self { job, size }
    }
}

/// What others of the kind needed, within the bounds of what this one is declared to need.
fn bounded(world: &World, job: &Job, learnt: Size) -> Size {
    let limits = &world.limits;
    if job.need != job.spec.size {
        return job.need;
    }
    let least = Size {
        milli_cores: job.need.percent(limits.least_cores_percent).milli_cores,
        memory_mb: job.need.percent(limits.least_memory_percent).memory_mb,
        accelerators: job.need.accelerators,
    };
    let most = job.need.percent(limits.most_percent);
    Size { accelerators: job.need.accelerators, ..learnt.component_max(least).component_min(most) }
}
