//! Effects of decisions: the new value of a job or of the trust in a worker.
//!
//! A decision is based on an earlier state of the world. If the entity has changed since in a way
//! that conflicts, the decision is refused and nothing changes.

mod attempt;
mod end;
mod settle;
mod worker;

use super::Attempt;
use super::Decision;
use super::Job;
use super::State;
use crate::decision::Entity;
use crate::decision::Refusal;
use crate::key;
use crate::time::Time;
use crate::world::Change;
use crate::world::World;

/// The changes that a decision makes, or why it is refused.
pub fn effect(world: &World, decision: &Decision, now: Time) -> Result<Vec<Change>, Refusal> {
    let change = match decision {
        Decision::Submit(job) => submit(world, job)?,
        Decision::Start { job, number, instance, epoch, boot, booked } => {
            let placement = attempt::Placement {
                instance: *instance,
                epoch: *epoch,
                boot: *boot,
                booked: *booked,
            };
            attempt::start(world, (*job, *number), placement, now)?
        }
        Decision::Resize { job, number, booked } => {
            attempt::resize(world, (*job, *number), *booked, now)?
        }
        Decision::Throttle { job, number, to } => {
            attempt::set_action(world, (*job, *number), super::Action::Throttle(*to), now)?
        }
        Decision::Checkpoint { job, number, cause } => {
            attempt::set_action(world, (*job, *number), super::Action::Checkpoint(*cause), now)?
        }
        Decision::Stop { job, number, cause } => {
            attempt::set_action(world, (*job, *number), super::Action::Stop(*cause), now)?
        }
        Decision::Lost { job, number, loss } => attempt::lost(world, (*job, *number), *loss, now)?,
        Decision::Found { job, number } => attempt::found(world, (*job, *number), now)?,
        Decision::Ask { job, number } => attempt::ask(world, (*job, *number), now)?,
        Decision::Requeue { job, number, outcome, retry_at, need, checkpoint } => {
            let retry = end::Retry { retry_at: *retry_at, need: *need, checkpoint };
            end::requeue(world, (*job, *number, *outcome), retry, now)?
        }
        Decision::Finish { job, attempt, end } => {
            end::close(world, *job, *attempt, State::Done(*end), now)?
        }
        Decision::Park { job, attempt, fault } => {
            end::close(world, *job, *attempt, State::Parked(*fault), now)?
        }
        Decision::Cancel { job } => settle::cancel(world, *job, now)?,
        Decision::Resolve { job, resolution } => settle::resolve(world, *job, *resolution, now)?,
        Decision::Forget { job } => settle::forget(world, *job)?,
        Decision::Quarantine { instance, until, .. } => {
            worker::quarantine(world, *instance, *until, now)?
        }
        Decision::Probation { instance } => worker::probation(world, *instance, now)?,
        Decision::Trust { instance } => worker::trust(world, *instance)?,
    };
    Ok(vec![change])
}

fn submit(world: &World, job: &Job) -> Result<Change, Refusal> {
    if world.names.jobs.contains_key(&job.name) {
        return Err(Refusal::JobExists(job.name.clone()));
    }
    Ok(Change::Job(job.clone()))
}

/// The job under a key.
fn find_job(world: &World, key: key::Job) -> Result<&Job, Refusal> {
    world.jobs.get(key).ok_or(Refusal::Unknown(Entity::Job))
}

/// The job under a key and its open attempt. Refused if the job is unknown, or if it has no open
/// attempt with this number.
fn open_attempt(world: &World, (key, number): (key::Job, u32)) -> Result<(&Job, Attempt), Refusal> {
    let job = find_job(world, key)?;
    match job.state.open() {
        Some(attempt) if attempt.number == number => Ok((job, *attempt)),
        _ => Err(state_changed(job)),
    }
}

/// The refusal of a decision that does not match the job's present state.
fn state_changed(job: &Job) -> Refusal {
    Refusal::JobState(job.name.clone(), job.state.name())
}

/// The job with a new state.
fn into_state(job: &Job, state: State, now: Time) -> Job {
    Job { state, since: now, ..job.clone() }
}
