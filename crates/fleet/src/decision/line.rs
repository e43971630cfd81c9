//! One key=value line for each decision, for logs.

use crate::decision::Decision;
use crate::job;
use crate::key;
use crate::pool;
use crate::wave;
use crate::world::World;

/// What a decision is about and why, as `key=value` pairs with names in place of keys.
pub fn line(world: &World, decision: &Decision) -> String {
    match decision {
        Decision::Pool(decision) => pool_line(world, decision),
        Decision::Wave(decision) => wave_line(world, decision),
        Decision::Job(decision) => job_line(world, decision),
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

fn job_line(world: &World, decision: &job::Decision) -> String {
    use job::Decision as Job;
    let word = decision.name();
    let about = |key, number: &u32| {
        format!("duty=job decision={word} job={} attempt={number}", job_name(world, key))
    };
    let alone = |key| format!("duty=job decision={word} job={}", job_name(world, key));
    let worker = |key| format!("duty=job decision={word} {}", instance(world, key));
    match decision {
        Job::Submit(job) => format!("duty=job decision={word} job={} kind={}", job.name, job.kind),
        Job::Start { job, number, instance: place, booked, .. } => {
            format!("{} booked={booked} {}", about(*job, number), instance(world, *place))
        }
        Job::Resize { job, number, booked } => format!("{} booked={booked}", about(*job, number)),
        Job::Throttle { job, number, to } => format!("{} to={to}", about(*job, number)),
        Job::Checkpoint { job, number, cause } | Job::Stop { job, number, cause } => {
            format!("{} cause={cause:?}", about(*job, number))
        }
        Job::Requeue { job, number, outcome, .. } => {
            format!("{} outcome={outcome:?}", about(*job, number))
        }
        Job::Finish { job, end, .. } => format!("{} end=\"{end}\"", alone(*job)),
        Job::Park { job, fault, .. } => format!("{} fault=\"{fault}\"", alone(*job)),
        Job::Lost { job, number, .. } | Job::Found { job, number } | Job::Ask { job, number } => {
            about(*job, number)
        }
        Job::Cancel { job } | Job::Forget { job } => alone(*job),
        Job::Resolve { job, resolution } => format!("{} resolution={resolution}", alone(*job)),
        Job::Quarantine { instance: place, failures, .. } => {
            format!("{} failures={failures}", worker(*place))
        }
        Job::Probation { instance: place } | Job::Trust { instance: place } => worker(*place),
    }
}

fn job_name(world: &World, key: key::Job) -> String {
    world.jobs.get(key).map_or_else(|| format!("#{key}"), |job| job.name.clone())
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
