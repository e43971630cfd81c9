//! Conditions of jobs and workers that require an operator's action now or may do so soon.

use derive_more::Display;

use super::Fault;
use super::Index;
use super::State;
use super::Trust;
use super::plan::Bins;
use super::plan::Planner;
use super::plan::should_be_quarantined;
use crate::instance;
use crate::key;
use crate::time::Time;
use crate::world::World;

/// A condition that requires an operator's action now or may do so soon.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{condition}")]
pub struct Alert {
    /// What is wrong.
    pub condition: Condition,
    /// What an operator can do about it.
    pub remedy: &'static str,
}

/// What is wrong.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Condition {
    /// A job that may not run twice may have run on a lost worker.
    #[display("job {job} may have run on {instance}, and may not run twice")]
    Unresolved {
        /// Name of the job.
        job: String,
        /// Name of the instance.
        instance: String,
    },
    /// A job was set aside.
    #[display("job {job} was set aside: {fault}")]
    Parked {
        /// Name of the job.
        job: String,
        /// What is wrong with it.
        fault: Fault,
    },
    /// Queued jobs fitted an instance when they were submitted, and no serving instance is large
    /// enough for them now.
    #[display("{jobs} queued {kind} jobs of pool {pool} fit on none of its serving instances")]
    NoLongerFits {
        /// Name of the pool.
        pool: String,
        /// Kind of job.
        kind: String,
        /// Number of these jobs.
        jobs: usize,
    },
    /// A worker fails jobs that succeed elsewhere, and the pool's limit of workers in quarantine
    /// is reached.
    #[display(
        "the worker of {instance} fails jobs that succeed elsewhere, and the quarantine limit of its \
         pool is reached"
    )]
    Suspect {
        /// Name of the instance.
        instance: String,
    },
    /// A worker is in quarantine.
    #[display("the worker of {instance} is in quarantine (number {times} so far)")]
    Quarantine {
        /// Name of the instance.
        instance: String,
        /// Number of its quarantines, this one included.
        times: u32,
    },
    /// A job that cannot be checkpointed delays the drain of its instance.
    #[display("job {job} has delayed the drain of {instance} for {seconds} s")]
    BlocksDrain {
        /// Name of the job.
        job: String,
        /// Name of the instance.
        instance: String,
        /// Seconds since the drain began.
        seconds: u64,
    },
}

impl Condition {
    const fn remedy(&self) -> &'static str {
        match self {
            Self::Unresolved { .. } => "find out whether it ran; then resolve or cancel it",
            Self::Parked { .. } => "fix the problem; then resolve or cancel it",
            Self::NoLongerFits { .. } => {
                "return or add an instance that is large enough, or cancel"
            }
            Self::Suspect { .. } => "drain the instance, or repair those in quarantine",
            Self::Quarantine { .. } => "repair or replace the instance",
            Self::BlocksDrain { .. } => "wait for it to end, or cancel it",
        }
    }
}

/// All conditions of jobs and workers that require an operator's action now or may do so soon.
pub fn alerts(world: &World, index: &Index, now: Time) -> Vec<Alert> {
    let planner = Planner::new(world, index, now);
    let mut conditions: Vec<_> =
        index.awaiting_operator().filter_map(|job| operator_condition(world, job)).collect();
    for (pool, _) in world.pools.iter() {
        unplaceable_jobs(&planner, pool, &mut conditions);
        suspect_workers(&planner, pool, &mut conditions);
        blocked_drains(&planner, pool, &mut conditions);
    }
    let with_remedy = |condition: Condition| Alert { remedy: condition.remedy(), condition };
    conditions.into_iter().map(with_remedy).collect()
}

/// Jobs that still have an attempt on an instance, in key order.
///
/// A draining instance may only be stopped once there are none.
pub fn drain_blockers(index: &Index, instance: key::Instance) -> Vec<key::Job> {
    index.placed(instance).collect()
}

fn operator_condition(world: &World, job: key::Job) -> Option<Condition> {
    let found = world.jobs.get(job)?;
    let job = found.name.clone();
    match &found.state {
        State::Unresolved(attempt) => {
            Some(Condition::Unresolved { job, instance: instance_name(world, attempt.instance) })
        }
        State::Parked(fault) => Some(Condition::Parked { job, fault: *fault }),
        _ => None,
    }
}

fn unplaceable_jobs(planner: &Planner<'_>, pool: key::Pool, conditions: &mut Vec<Condition>) {
    let Some(pool_index) = planner.index.pool(pool) else { return };
    if pool_index.queue.is_empty() {
        return;
    }
    let bins = Bins::of(planner, pool_index);
    let name = planner.world.pools.get(pool).map(|pool| pool.name.clone()).unwrap_or_default();
    for (class, jobs) in &pool_index.queue {
        if !bins.could_fit(class.need) {
            let (pool, kind) = (name.clone(), class.kind.to_string());
            conditions.push(Condition::NoLongerFits { pool, kind, jobs: jobs.len() });
        }
    }
}

fn suspect_workers(planner: &Planner<'_>, pool: key::Pool, conditions: &mut Vec<Condition>) {
    let Some(pool_index) = planner.index.pool(pool) else { return };
    for &instance in &pool_index.failing {
        let is_restricted = planner.world.trust(instance) != Trust::Trusted;
        if !is_restricted && should_be_quarantined(planner, pool_index, instance) {
            conditions
                .push(Condition::Suspect { instance: instance_name(planner.world, instance) });
        }
    }
    for (instance, worker) in &planner.world.workers {
        let key = planner.world.names.instances.get(instance);
        let is_member = key.is_some_and(|key| pool_index.instances.contains(key));
        if is_member && worker.trust == Trust::Quarantine {
            conditions.push(Condition::Quarantine {
                instance: instance.clone(),
                times: worker.quarantines,
            });
        }
    }
}

fn blocked_drains(planner: &Planner<'_>, pool: key::Pool, conditions: &mut Vec<Condition>) {
    let Some(pool_index) = planner.index.pool(pool) else { return };
    for &instance in &pool_index.unavailable {
        let Some(found) = planner.world.instances.get(instance) else { continue };
        if found.state != instance::State::Draining {
            continue;
        }
        for job in drain_blockers(planner.index, instance) {
            let Some(job) = planner.world.jobs.get(job).filter(|job| !job.spec.preemptible) else {
                continue;
            };
            let seconds = planner.now.since(found.since).as_secs();
            let (job, instance) = (job.name.clone(), found.name.clone());
            conditions.push(Condition::BlocksDrain { job, instance, seconds });
        }
    }
}

fn instance_name(world: &World, instance: key::Instance) -> String {
    world.instances.get(instance).map(|instance| instance.name.clone()).unwrap_or_default()
}
