//! What is measured of jobs: waits, ends, and accelerators against an offline packing.

use std::cmp::Reverse;
use std::time::Duration;

use fleet::config::Priority;
use fleet::config::Size;
use fleet::decision::Decision;
use fleet::job;
use fleet::job::End;
use fleet::job::Total;
use fleet::key;
use fleet::time::Time;
use fleet::world::World;

use crate::fake::Crew;
use crate::fake::Known;

/// How often the accelerators in use are looked at.
const SAMPLE: Duration = Duration::from_secs(10);

/// What is measured of jobs.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    /// Jobs that were refused when they were submitted.
    pub refused: u64,
    /// Jobs that ended well.
    pub done: u64,
    /// Attempts that were checkpointed to make room or to correct.
    pub moved: u64,
    used: f64,
    packed: f64,
    samples: u32,
    next_sample: Time,
}

impl Jobs {
    /// Takes note of a decision that was recorded.
    pub const fn decided(&mut self, decision: &Decision) {
        match decision {
            Decision::Job(job::Decision::Finish { end: End::Succeeded, .. }) => self.done += 1,
            Decision::Job(job::Decision::Checkpoint { .. }) => self.moved += 1,
            _ => {}
        }
    }

    /// Compares the accelerators in use with what an offline packing of the same jobs reaches, in
    /// each pool that has jobs waiting for some.
    pub fn sample(&mut self, world: &World, now: Time) {
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + SAMPLE;
        for (pool, _) in world.pools.iter() {
            let open = open_jobs(world, pool);
            let waits = open.iter().any(|(size, placed)| !placed && size.accelerators > 0);
            if !waits {
                continue;
            }
            let used = open.iter().filter(|(_, placed)| *placed);
            self.used += used.map(|(size, _)| f64::from(size.accelerators)).sum::<f64>();
            let sizes = open.into_iter().map(|(size, _)| size).collect();
            self.packed += f64::from(pack(world, pool, sizes));
            self.samples += 1;
        }
    }

    /// Accelerators in use at saturation, on average.
    pub fn used(&self) -> f64 {
        self.used / f64::from(self.samples.max(1))
    }

    /// Accelerators that an offline packing uses at the same moments, on average.
    pub fn packed(&self) -> f64 {
        self.packed / f64::from(self.samples.max(1))
    }
}

/// Sizes of the jobs that run or wait in a pool, and whether they run.
fn open_jobs(world: &World, pool: key::Pool) -> Vec<(Size, bool)> {
    let jobs = world.jobs.iter().filter(|(_, job)| job.pool == pool);
    let open = jobs.filter_map(|(_, job)| match &job.state {
        job::State::Queued => Some((job.need, false)),
        state => state.placed().map(|_| (job.need, true)),
    });
    open.collect()
}

/// First fit decreasing, onto empty instances: how many accelerators get used.
fn pack(world: &World, pool: key::Pool, mut sizes: Vec<Size>) -> u32 {
    let members = world.ready(pool);
    let mut rooms: Vec<_> =
        members.map(|(_, one)| (Total::from(one.capacity), Total::default())).collect();
    sizes.sort_by_key(|size| Reverse((size.accelerators, size.milli_cores, size.memory_mb)));
    let mut used = 0;
    for size in sizes {
        let fits =
            |(room, booked): &&mut (Total, Total)| booked.plus(Total::from(size)).fits_in(*room);
        if let Some((_, booked)) = rooms.iter_mut().find(fits) {
            booked.add(size);
            used += size.accelerators;
        }
    }
    used
}

/// The wait from submission to first start that one in a hundred jobs of this priority exceeds,
/// milliseconds. A job that never started has waited until now; one that was cancelled is left out.
pub(super) fn start_p99_ms(crew: &Crew, priority: Priority, now: Time) -> u64 {
    let of_priority = crew.jobs.values().filter(|known| known.priority == priority);
    let kept = of_priority.filter(|known| known.cancelled.is_none() || known.started.is_some());
    let wait = |known: &Known| known.started.unwrap_or(now).since(known.submitted).as_millis();
    let mut waits: Vec<_> = kept.map(|known| wait(known) as u64).collect();
    waits.sort_unstable();
    let rank = (waits.len() * 99).div_ceil(100).saturating_sub(1);
    waits.get(rank).copied().unwrap_or(0)
}

/// Jobs that were taken in and not cancelled.
pub(super) fn runnable(crew: &Crew) -> u64 {
    crew.jobs.values().filter(|known| known.cancelled.is_none()).count() as u64
}
