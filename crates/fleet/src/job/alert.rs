//! What waits for a person, or may soon.

use derive_more::Display;

use super::Fault;
use super::Index;
use super::State;
use super::Trust;
use super::plan::Rooms;
use super::plan::Scratch;
use super::plan::is_suspect;
use crate::instance;
use crate::key;
use crate::time::Time;
use crate::world::World;

/// One thing that waits for a person, or may soon.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{condition}")]
pub struct Alert {
    /// What it is.
    pub condition: Condition,
    /// What can be done about it.
    pub remedy: &'static str,
}

/// What waits for a person.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Condition {
    /// A job may have run on a lost worker, and may not run twice.
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
    /// Queued jobs fitted when they were submitted, and no serving instance can hold them now.
    #[display("{jobs} queued {kind} jobs of pool {pool} fit on none of its serving instances")]
    NoLongerFits {
        /// Name of the pool.
        pool: String,
        /// Kind of job.
        kind: String,
        /// How many.
        jobs: usize,
    },
    /// A worker fails what others can do, and as many as may be are in quarantine already.
    #[display("the worker of {instance} fails what others can do; no more may be set aside")]
    Suspect {
        /// Name of the instance.
        instance: String,
    },
    /// A worker is in quarantine.
    #[display("the worker of {instance} is in quarantine, for the {times}. time")]
    Quarantine {
        /// Name of the instance.
        instance: String,
        /// How often it was by now.
        times: u32,
    },
    /// A job that cannot be checkpointed holds up the drain of its instance.
    #[display("job {job} holds up the drain of {instance} since {seconds} s")]
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
            Self::Parked { .. } => "mend what is wrong; then resolve or cancel it",
            Self::NoLongerFits { .. } => "return or add an instance that can hold them, or cancel",
            Self::Suspect { .. } => "drain the instance, or mend those in quarantine",
            Self::Quarantine { .. } => "mend or replace the instance",
            Self::BlocksDrain { .. } => "wait for it to end, or cancel it",
        }
    }
}

/// Everything about jobs and workers that waits for a person, or may soon.
pub fn alerts(world: &World, index: &Index, now: Time) -> Vec<Alert> {
    let step = Scratch::new(world, index, now);
    let mut matters: Vec<_> =
        index.awaiting_operator().filter_map(|job| person(world, job)).collect();
    for (pool, _) in world.pools.iter() {
        misfits(&step, pool, &mut matters);
        suspects(&step, pool, &mut matters);
        drains(&step, pool, &mut matters);
    }
    let with_remedy = |matter: Condition| Alert { remedy: matter.remedy(), condition: matter };
    matters.into_iter().map(with_remedy).collect()
}

/// Jobs that keep a draining instance from being quiet, in key order.
///
/// An instance may only be stopped once there are none.
pub fn drain_blockers(index: &Index, instance: key::Instance) -> Vec<key::Job> {
    index.placed(instance).collect()
}

fn person(world: &World, job: key::Job) -> Option<Condition> {
    let found = world.jobs.get(job)?;
    let job = found.name.clone();
    match &found.state {
        State::Unresolved(attempt) => {
            Some(Condition::Unresolved { job, instance: name(world, attempt.instance) })
        }
        State::Parked(fault) => Some(Condition::Parked { job, fault: *fault }),
        _ => None,
    }
}

fn misfits(step: &Scratch<'_>, pool: key::Pool, matters: &mut Vec<Condition>) {
    let Some(book) = step.index.book(pool) else { return };
    if book.queue.is_empty() {
        return;
    }
    let rooms = Rooms::of(step, book);
    let name = step.world.pools.get(pool).map(|pool| pool.name.clone()).unwrap_or_default();
    for (group, jobs) in &book.queue {
        if !rooms.could_hold(group.need) {
            let (pool, kind) = (name.clone(), group.kind.to_string());
            matters.push(Condition::NoLongerFits { pool, kind, jobs: jobs.len() });
        }
    }
}

fn suspects(step: &Scratch<'_>, pool: key::Pool, matters: &mut Vec<Condition>) {
    let Some(book) = step.index.book(pool) else { return };
    for &instance in &book.failing {
        let held = step.world.trust(instance) != Trust::Trusted;
        if !held && is_suspect(step, book, instance) {
            matters.push(Condition::Suspect { instance: name(step.world, instance) });
        }
    }
    for (instance, worker) in &step.world.workers {
        let key = step.world.names.instances.get(instance);
        let here = key.is_some_and(|key| book.nodes.contains(key));
        if here && worker.trust == Trust::Quarantine {
            matters.push(Condition::Quarantine {
                instance: instance.clone(),
                times: worker.quarantines,
            });
        }
    }
}

fn drains(step: &Scratch<'_>, pool: key::Pool, matters: &mut Vec<Condition>) {
    let Some(book) = step.index.book(pool) else { return };
    for &instance in &book.away {
        let Some(found) = step.world.instances.get(instance) else { continue };
        if found.state != instance::State::Draining {
            continue;
        }
        for job in drain_blockers(step.index, instance) {
            let Some(job) = step.world.jobs.get(job).filter(|job| !job.spec.preemptible) else {
                continue;
            };
            let seconds = step.now.since(found.since).as_secs();
            let (job, instance) = (job.name.clone(), found.name.clone());
            matters.push(Condition::BlocksDrain { job, instance, seconds });
        }
    }
}

fn name(world: &World, instance: key::Instance) -> String {
    world.instances.get(instance).map(|instance| instance.name.clone()).unwrap_or_default()
}
