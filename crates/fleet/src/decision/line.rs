//! Formats decisions as key=value log lines.

use crate::decision::Decision;
use crate::job;
use crate::key;
use crate::pool;
use crate::wave;
use crate::world::World;

/// Formats a decision, the entities that it concerns and its reason as `key=value` pairs. Entities
/// are given by name, or as `#key` if they are unknown.
pub fn line(world: &World, decision: &Decision) -> String {
    match decision {
        Decision::Pool(decision) => pool_line(world, decision),
        Decision::Wave(decision) => wave_line(world, decision),
        Decision::Job(decision) => job_line(world, decision),
    }
}

fn pool_line(world: &World, decision: &pool::Decision) -> String {
    let prefix = |name, key| format!("duty=pool decision={name} {}", instance_fields(world, key));
    match decision {
        pool::Decision::Enlist(listed) => {
            let pool = pool_name(world, listed.pool);
            format!("duty=pool decision=enlist instance={} pool={pool}", listed.name)
        }
        pool::Decision::Drain { instance, reason } => {
            format!("{} reason={reason}", prefix("drain", *instance))
        }
        pool::Decision::Return { instance, reason } => {
            format!("{} reason={reason}", prefix("return", *instance))
        }
        pool::Decision::Move { instance, to, reason } => {
            let to = pool_name(world, *to);
            format!("{} to={to} reason={reason}", prefix("move", *instance))
        }
        pool::Decision::Drained { instance } => prefix("drained", *instance),
        pool::Decision::Park { instance } => prefix("park", *instance),
        pool::Decision::Fail { instance } => prefix("fail", *instance),
        pool::Decision::Suspect { instance } => prefix("suspect", *instance),
        pool::Decision::Trust { instance } => prefix("trust", *instance),
        pool::Decision::Check { instance } => prefix("check", *instance),
        pool::Decision::Gone { instance } => prefix("gone", *instance),
        pool::Decision::Forget { instance } => prefix("forget", *instance),
    }
}

fn wave_line(world: &World, decision: &wave::Decision) -> String {
    let prefix = |name, key| format!("duty=wave decision={name} wave={}", wave_name(world, key));
    match *decision {
        wave::Decision::Start { wave } => prefix("start", wave),
        wave::Decision::Pause { wave } => prefix("pause", wave),
        wave::Decision::Resume { wave } => prefix("resume", wave),
        wave::Decision::Abort { wave } => prefix("abort", wave),
        wave::Decision::Finish { wave } => prefix("finish", wave),
        wave::Decision::Step { wave, instance: key } => {
            format!("{} {}", prefix("step", wave), instance_fields(world, key))
        }
        wave::Decision::Return { wave, instance: key } => {
            format!("{} {}", prefix("return", wave), instance_fields(world, key))
        }
        wave::Decision::Lose { wave, instance: key } => {
            format!("{} {}", prefix("lose", wave), instance_fields(world, key))
        }
    }
}

fn job_line(world: &World, decision: &job::Decision) -> String {
    use job::Decision as Job;
    let name = decision.name();
    let attempt_prefix = |key, number: &u32| {
        format!("duty=job decision={name} job={} attempt={number}", job_name(world, key))
    };
    let job_prefix = |key| format!("duty=job decision={name} job={}", job_name(world, key));
    let worker_prefix = |key| format!("duty=job decision={name} {}", instance_fields(world, key));
    match decision {
        Job::Submit(job) => format!("duty=job decision={name} job={} kind={}", job.name, job.kind),
        Job::Start { job, number, instance: key, booked, .. } => {
            format!(
                "{} booked={booked} {}",
                attempt_prefix(*job, number),
                instance_fields(world, *key)
            )
        }
        Job::Resize { job, number, booked } => {
            format!("{} booked={booked}", attempt_prefix(*job, number))
        }
        Job::Throttle { job, number, to } => format!("{} to={to}", attempt_prefix(*job, number)),
        Job::Checkpoint { job, number, cause } | Job::Stop { job, number, cause } => {
            format!("{} cause={cause:?}", attempt_prefix(*job, number))
        }
        Job::Requeue { job, number, outcome, .. } => {
            format!("{} outcome={outcome:?}", attempt_prefix(*job, number))
        }
        Job::Finish { job, end, .. } => format!("{} end=\"{end}\"", job_prefix(*job)),
        Job::Park { job, fault, .. } => format!("{} fault=\"{fault}\"", job_prefix(*job)),
        Job::Lost { job, number, .. } | Job::Found { job, number } | Job::Ask { job, number } => {
            attempt_prefix(*job, number)
        }
        Job::Cancel { job } | Job::Forget { job } => job_prefix(*job),
        Job::Resolve { job, resolution } => format!("{} resolution={resolution}", job_prefix(*job)),
        Job::Quarantine { instance: key, failures, .. } => {
            format!("{} failures={failures}", worker_prefix(*key))
        }
        Job::Probation { instance: key } | Job::Trust { instance: key } => worker_prefix(*key),
    }
}

fn job_name(world: &World, key: key::Job) -> String {
    world.jobs.get(key).map_or_else(|| format!("#{key}"), |job| job.name.clone())
}

/// The name, state and pool of an instance, and how many members of the pool are ready.
fn instance_fields(world: &World, key: key::Instance) -> String {
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
