//! The baseline: a fixed reserve of a fifth in each pool, one instance at a time, first fit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use fleet::config::Size;
use fleet::decision::Decision;
use fleet::instance::Instance;
use fleet::instance::Purpose;
use fleet::instance::State;
use fleet::job;
use fleet::job::Index;
use fleet::job::Total;
use fleet::key;
use fleet::pool;
use fleet::pool::Loans;
use fleet::pool::Reason;
use fleet::time::Time;
use fleet::wave;
use fleet::wave::Phase;
use fleet::world::World;

use crate::policy::Decide;

/// Hundredths of what is promised that are held ready.
const HELD_PERCENT: u32 = 120;

/// The baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Naive;

impl Decide for Naive {
    fn pools(&self, world: &World, _now: Time) -> Vec<Decision> {
        let mut decisions: Vec<Decision> = Vec::new();
        decisions.extend(go_on(world).map(Decision::from));
        if decisions.is_empty() && !is_shifting(world) {
            decisions.extend(refill(world).or_else(|| shed(world)).map(Decision::from));
        }
        decisions
    }

    fn waves(&self, world: &World, _now: Time) -> Vec<Decision> {
        world.waves.iter().filter_map(|(key, wave)| step(world, key, wave)).collect()
    }

    fn jobs(&self, world: &World, index: &Index, _now: Time) -> Vec<Decision> {
        first_fit(world, index)
    }

    fn lend(&self, _world: &World, _now: Time) -> Loans {
        Loans::new()
    }
}

/// Jobs in the order of their tables, each on the first instance of its pool that has room.
fn first_fit(world: &World, index: &Index) -> Vec<Decision> {
    let mut booked: BTreeMap<key::Instance, Total> = BTreeMap::new();
    let mut decisions = Vec::new();
    let mut full: BTreeSet<(key::Pool, Size)> = BTreeSet::new();
    for (key, job) in world.jobs.iter().filter(|(_, job)| job.state == job::State::Queued) {
        if full.contains(&(job.pool, job.need)) {
            continue;
        }
        let size = Total::from(job.need);
        let fits = |(instance, member): &(key::Instance, &Instance)| {
            let used = booked.get(instance).copied().unwrap_or_else(|| index.booked(*instance));
            used.plus(size).fits_in(member.capacity.into())
        };
        let Some((instance, member)) = world.ready(job.pool).find(fits) else {
            full.insert((job.pool, job.need));
            continue;
        };
        let Some(&boot) = world.observations.boots.get(&instance) else {
            continue;
        };
        let used = booked.entry(instance).or_insert_with(|| index.booked(instance));
        *used = used.plus(size);
        let (number, epoch) = (job.last_attempt + 1, member.epoch);
        let start =
            job::Decision::Start { job: key, number, instance, epoch, boot, booked: job.need };
        decisions.push(start.into());
    }
    decisions
}

/// What a pool holds ready.
fn held(pool: &pool::Pool) -> u32 {
    (pool.spec.min_ready * HELD_PERCENT).div_ceil(100)
}

fn members(world: &World) -> impl Iterator<Item = (key::Instance, &Instance)> {
    world.pools.iter().flat_map(|(pool, _)| world.members(pool))
}

fn go_on(world: &World) -> impl Iterator<Item = pool::Decision> {
    let drained = members(world).filter(|(_, member)| member.state == State::Drained);
    drained.filter_map(|(instance, member)| match member.purpose {
        Some(Purpose::Move { to, reason }) => Some(pool::Decision::Move { instance, to, reason }),
        Some(Purpose::Parked) => Some(pool::Decision::Park { instance }),
        _ => None,
    })
}

fn is_shifting(world: &World) -> bool {
    members(world).any(|(_, member)| {
        let moving = matches!(member.purpose, Some(Purpose::Move { .. }));
        moving || member.state == State::Checking
    })
}

/// The first pool that is short gets the first spare instance.
fn refill(world: &World) -> Option<pool::Decision> {
    let mut pools = world.pools.iter();
    let (to, short) = pools.find(|(_, pool)| !pool.spec.spare && pool.ready() < held(pool))?;
    let mut spares = world
        .pools
        .iter()
        .filter(|(_, pool)| pool.spec.spare && pool.organisation == short.organisation);
    let (from, spare) = spares.next()?;
    if spare.ready() > spare.spec.min_ready {
        let (instance, _) = world.ready(from).next()?;
        return Some(pool::Decision::Move { instance, to, reason: Reason::Short });
    }
    let asleep = world.members(from).find(|(_, member)| {
        member.state == State::Stopped && member.purpose == Some(Purpose::Parked)
    });
    let (instance, _) = asleep?;
    Some(pool::Decision::Return { instance, reason: Reason::Short })
}

/// The first pool that holds more than its reserve gives one away.
fn shed(world: &World) -> Option<pool::Decision> {
    let (from, rich) = world.pools.iter().find(|(_, pool)| pool.ready() > held(pool))?;
    let (instance, _) = world.ready(from).next()?;
    if rich.spec.spare {
        return Some(pool::Decision::Park { instance });
    }
    let mut pools = world.pools.iter();
    let (to, _) =
        pools.find(|(_, pool)| pool.spec.spare && pool.organisation == rich.organisation)?;
    Some(pool::Decision::Move { instance, to, reason: Reason::Surplus })
}

/// One instance of the wave at a time, in the order of the tables.
fn step(world: &World, key: key::Wave, wave: &wave::Wave) -> Option<Decision> {
    if wave.phase != Phase::Running {
        return None;
    }
    let covered: Vec<_> = wave.pools(world);
    let all = || covered.iter().flat_map(|&pool| world.members(pool));
    let out =
        all().find(|(_, member)| wave.is_maintaining(key, member) && member.state != State::Failed);
    if let Some((instance, member)) = out {
        let drained = member.state == State::Drained;
        return drained.then_some(wave::Decision::Step { wave: key, instance }.into());
    }
    let mut due = all().filter(|(_, member)| wave.is_due(key, member));
    let next = due.find(|(_, member)| member.state == State::Serving);
    Some(match next {
        Some((instance, _)) => wave::Decision::Step { wave: key, instance }.into(),
        None => wave::Decision::Finish { wave: key }.into(),
    })
}
