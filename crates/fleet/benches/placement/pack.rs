//! Accelerators in use at saturation, compared with an offline first-fit-decreasing packing.

use std::time::Duration;

use fleet::config::Size;
use fleet::instance::State as InstanceState;
use fleet::job::State;
use fleet::key;

use crate::mix;
use crate::mix::Shape;
use crate::mix::Source;
use crate::site::Site;

/// Pools of the target size, and small ones like those in use today.
const SHAPES: [Shape; 2] =
    [Shape { instances: 240, pools: 7, teams: 70 }, Shape { instances: 240, pools: 24, teams: 72 }];
const WARM_UP: Duration = Duration::from_secs(600);
const MEASURED: u32 = 30;
const BETWEEN: Duration = Duration::from_secs(20);
/// Number of queued jobs that is kept in each pool.
const BACKLOG: usize = 30;
const SEEDS: u64 = 2;
/// Minimum share of the offline packing that passes.
const BAR: f64 = 0.95;

pub(crate) fn run() {
    for (shape, accelerated) in SHAPES.into_iter().flat_map(|shape| [(shape, false), (shape, true)])
    {
        let shares: Vec<f64> = (0..SEEDS).map(|seed| measure(shape, seed, accelerated)).collect();
        let min = shares.iter().copied().fold(f64::INFINITY, f64::min);
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let verdict = if min >= BAR { "kept" } else { "BROKEN" };
        println!(
            "accelerators in use against offline packing, {} instances in {} pools, {} jobs, \
             {SEEDS} seeds: mean {mean:.4}, min {min:.4}; bar {BAR}: {verdict}",
            shape.instances,
            shape.pools,
            if accelerated { "accelerator" } else { "mixed" },
        );
    }
}

fn measure(shape: Shape, seed: u64, accelerated: bool) -> f64 {
    let mut site = mix::fleet(shape);
    let mut source = Source::new(seed, shape);
    source.accelerated = accelerated;
    let end = site.now + WARM_UP;
    while site.now < end {
        step(&mut site, &mut source);
    }
    let (mut used, mut packed) = (0, 0);
    for _ in 0..MEASURED {
        let end = site.now + BETWEEN;
        while site.now < end {
            step(&mut site, &mut source);
        }
        for &pool in &site.pools {
            used += in_use(&site, pool);
            packed += first_fit_decreasing(&site, pool);
        }
    }
    f64::from(used) / f64::from(packed)
}

fn step(site: &mut Site, source: &mut Source) {
    for (number, pool) in site.pools.clone().into_iter().skip(1).enumerate() {
        while site.index.queued(pool) < BACKLOG {
            source.submit_to(site, number as u32);
        }
    }
    site.tick();
}

fn in_use(site: &Site, pool: key::Pool) -> u32 {
    let jobs = site.world.jobs.iter().filter(|(_, job)| job.pool == pool);
    jobs.filter_map(|(_, job)| Some(job.state.placed()?.booked.accelerators)).sum()
}

/// Accelerators that would be in use if all queued and running jobs were packed anew, largest first.
fn first_fit_decreasing(site: &Site, pool: key::Pool) -> u32 {
    let members = site.world.members(pool);
    let serving = members.filter(|(_, member)| member.state == InstanceState::Serving);
    let mut free: Vec<Size> = serving.map(|(_, member)| member.capacity).collect();
    let jobs = site.world.jobs.iter().filter(|(_, job)| job.pool == pool);
    let open = jobs.filter(|(_, job)| matches!(job.state, State::Queued | State::Running(_)));
    let mut sizes: Vec<Size> = open.map(|(_, job)| job.need).collect();
    sizes.sort_by_key(|size| {
        std::cmp::Reverse((size.accelerators, size.milli_cores, size.memory_mb))
    });
    let mut packed = 0;
    for size in sizes {
        if let Some(bin) = free.iter_mut().find(|bin| size.fits_in(**bin)) {
            *bin = bin.minus(size);
            packed += size.accelerators;
        }
    }
    packed
}
