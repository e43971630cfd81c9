//! One key=value line for each decision, for logs.

use crate::decision::Decision;
use crate::key;
use crate::pool;
use crate::wave;
use crate::world::World;

/// What a decision is about and why, as `key=value` pairs with names in place of keys.
pub fn line(world: &World, decision: &Decision) -> String {
    match decision {
        Decision::Pool(decision) => pool_line(world, decision),
        Decision::Wave(decision) => wave_line(world, decision),
        Decision::Job(decision) => format!("duty=job decision={:?}", decision),
    }
}

fn pool_line(world: &World, decision: &pool::Decision) -> String {
    let about = |word, key| format!("duty=pool decision={word} {}", instance(world, key));
    match decision {
        pool::Decision::Enlist(listed) => {
            let pool = pool_name(world, listed.pool);
            format!("duty=pool decision=enlist instance={} pool={pool}", listed.name)
        }
        pool::Decision::Drain { instance, reason } => {
            format!("{} reason={reason}", about("drain", *instance))
        }
        pool::Decision::Return { instance, reason } => {
            format!("{} reason={reason}", about("return", *instance))
        }
        pool::Decision::Move { instance, to, reason } => {
            let to = pool_name(world, *to);
            format!("{} to={to} reason={reason}", about("move", *instance))
        }
        pool::Decision::Drained { instance } => about("drained", *instance),
        pool::Decision::Park { instance } => about("park", *instance),
        pool::Decision::Fail { instance } => about("fail", *instance),
        pool::Decision::Suspect { instance } => about("suspect", *instance),
        pool::Decision::Trust { instance } => about("trust", *instance),
        pool::Decision::Check { instance } => about("check", *instance),
        pool::Decision::Gone { instance } => about("gone", *instance),
        pool::Decision::Forget { instance } => about("forget", *instance),
    }
}

fn wave_line(world: &World, decision: &wave::Decision) -> String {
    let about = |word, key| format!("duty=wave decision={word} wave={}", wave_name(world, key));
    match *decision {
        wave::Decision::Start { wave } => about("start", wave),
        wave::Decision::Pause { wave } => about("pause", wave),
        wave::Decision::Resume { wave } => about("resume", wave),
        wave::Decision::Abort { wave } => about("abort", wave),
        wave::Decision::Finish { wave } => about("finish", wave),
        wave::Decision::Step { wave, instance: key } => {
            format!("{} {}", about("step", wave), instance(world, key))
        }
        wave::Decision::Return { wave, instance: key } => {
            format!("{} {}", about("return", wave), instance(world, key))
        }
        wave::Decision::Lose { wave, instance: key } => {
            format!("{} {}", about("lose", wave), instance(world, key))
        }
    }
}

fn instance(world: &World, key: key::Instance) -> String {
    let Some(instance) = world.instances.get(key) else {
        return format!("instance=#{key}");
    };
    let pool = pool_name(world, instance.pool);
    let ready = world.pools.get(instance.pool).map_or(0, pool::Pool::ready);
    format!("instance={} state={} pool={pool} ready={ready}", instance.name, instance.state)
}

fn pool_name(world: &World, key: key::Pool) -> String {
    let pool = world.pools.get(key);
    let organisation = pool.and_then(|pool| world.organisations.get(pool.organisation));
    match (organisation, pool) {
        (Some(organisation), Some(pool)) => format!("{}/{}", organisation.name, pool.name),
        _ => format!("#{key}"),
    }
}

fn wave_name(world: &World, key: key::Wave) -> String {
    let wave = world.waves.get(key);
    let organisation = wave.and_then(|wave| world.organisations.get(wave.organisation));
    match (organisation, wave) {
        (Some(organisation), Some(wave)) => format!("{}/{}", organisation.name, wave.name),
        _ => format!("#{key}"),
    }
}
