//! Computes the resources to book for a job's next attempt.

use crate::config::Size;
use crate::job::Job;
use crate::job::index::PoolIndex;
use crate::world::World;

/// A job and the resources to book for its next attempt.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Booking<'a> {
    pub(in crate::job) job: &'a Job,
    pub(in crate::job) size: Size,
}

impl<'a> Booking<'a> {
    pub(in crate::job) fn of(world: &World, pool_index: &PoolIndex, job: &'a Job) -> Self {
        let learned = pool_index.kinds.get(&job.kind).and_then(|kind| kind.learned_size());
        let size = learned.map_or(job.need, |learned| bounded(world, job, learned));
        Self { job, size }
    }
}

/// The size learned from other jobs of the kind, bounded by the declared size. A job whose need was
/// raised after an overrun keeps that.
fn bounded(world: &World, job: &Job, learned: Size) -> Size {
    let limits = &world.limits;
    if job.need != job.spec.size {
        return job.need;
    }
    let min = Size {
        milli_cores: job.need.percent(limits.least_cores_percent).milli_cores,
        memory_mb: job.need.percent(limits.least_memory_percent).memory_mb,
        accelerators: job.need.accelerators,
    };
    let max = job.need.percent(limits.most_percent);
    Size { accelerators: job.need.accelerators, ..learned.component_max(min).component_min(max) }
}
