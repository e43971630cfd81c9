//! Jobs: placement over processors, memory and accelerators, attempts, overruns, quarantine.

use crate::config;
use crate::decision::Entity;
use crate::decision::Refusal;
use crate::key;
use crate::time::Time;
use crate::world::Change;
use crate::world::World;

/// A job that was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its name, unique in the site.
    pub name: String,
    /// The team it counts against.
    pub team: key::Team,
    /// What it is.
    pub spec: config::Job,
    /// When it was submitted.
    pub submitted: Time,
}

/// What the job systems want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start an attempt.
    Start {
        /// Which job.
        job: key::Job,
        /// Where.
        instance: key::Instance,
    },
}

/// The new values that carry `decision` out, or why it may not be carried out.
pub fn effect(world: &World, decision: &Decision, _now: Time) -> Result<Vec<Change>, Refusal> {
    let Decision::Start { job, instance } = *decision;
    let job = world.jobs.get(job).ok_or(Refusal::Unknown(Entity::Job))?;
    let instance = world.instances.get(instance).ok_or(Refusal::Unknown(Entity::Instance))?;
    if !instance.state.counts_ready() {
        return Err(Refusal::NotServing(instance.name.clone()));
    }
    Ok(vec![Change::Job(job.clone())])
}
