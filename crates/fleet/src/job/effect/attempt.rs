//! Effects on an attempt that has not ended.

use super::find_job;
use super::into_state;
use super::open_attempt;
use super::state_changed;
use crate::config::Size;
use crate::decision::Entity;
use crate::decision::Refusal;
use crate::instance;
use crate::job::Action;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::Loss;
use crate::job::State;
use crate::job::Trust;
use crate::key;
use crate::time::Time;
use crate::world::Change;
use crate::world::World;

/// Where an attempt is to run, and its booking.
pub(super) struct Placement {
    pub(super) instance: key::Instance,
    pub(super) epoch: u64,
    pub(super) boot: u64,
    pub(super) booked: Size,
}

pub(super) fn start(
    world: &World,
    (key, number): (key::Job, u32),
    placement: Placement,
    now: Time,
) -> Result<Change, Refusal> {
    let job = find_job(world, key)?;
    let is_next = number == job.last_attempt + 1;
    if !matches!(job.state, State::Queued) || !is_next || job.cancelled {
        return Err(state_changed(job));
    }
    check_placement(world, &placement)?;
    let attempt = Attempt {
        number,
        instance: placement.instance,
        epoch: placement.epoch,
        boot: placement.boot,
        started: now,
        booked: placement.booked,
        corrected: now,
        action: Action::Run,
        action_since: now,
    };
    let started = into_state(job, State::Running(attempt), now);
    Ok(Change::Job(Job { last_attempt: number, ..started }))
}

pub(super) fn resize(
    world: &World,
    target: (key::Job, u32),
    booked: Size,
    now: Time,
) -> Result<Change, Refusal> {
    let (job, attempt) = open_attempt(world, target)?;
    check_running(job)?;
    let more = booked.minus(attempt.booked);
    if !more.is_zero() {
        check_free(world, attempt.instance, more)?;
    }
    Ok(change_attempt(job, Attempt { booked, corrected: now, ..attempt }))
}

pub(super) fn set_action(
    world: &World,
    target: (key::Job, u32),
    act: Action,
    now: Time,
) -> Result<Change, Refusal> {
    let (job, attempt) = open_attempt(world, target)?;
    check_running(job)?;
    if stage(act) < stage(attempt.action) {
        return Err(state_changed(job));
    }
    Ok(change_attempt(job, Attempt { action: act, action_since: now, ..attempt }))
}

pub(super) fn lost(
    world: &World,
    target: (key::Job, u32),
    loss: Loss,
    now: Time,
) -> Result<Change, Refusal> {
    let (job, attempt) = open_attempt(world, target)?;
    match job.state {
        State::Running(_) | State::Unknown(..) => {
            Ok(Change::Job(into_state(job, State::Unknown(attempt, loss), now)))
        }
        _ => Err(state_changed(job)),
    }
}

pub(super) fn found(world: &World, target: (key::Job, u32), now: Time) -> Result<Change, Refusal> {
    let (job, attempt) = open_attempt(world, target)?;
    match job.state {
        State::Unknown(..) | State::Unresolved(_) => {
            Ok(Change::Job(into_state(job, State::Running(attempt), now)))
        }
        _ => Err(state_changed(job)),
    }
}

pub(super) fn ask(world: &World, target: (key::Job, u32), now: Time) -> Result<Change, Refusal> {
    let (job, attempt) = open_attempt(world, target)?;
    match job.state {
        State::Running(_) | State::Unknown(..) => {
            Ok(Change::Job(into_state(job, State::Unresolved(attempt), now)))
        }
        _ => Err(state_changed(job)),
    }
}

fn check_placement(world: &World, placement: &Placement) -> Result<(), Refusal> {
    let instance = world.instances.get(placement.instance);
    let instance = instance.ok_or(Refusal::Unknown(Entity::Instance))?;
    if instance.state != instance::State::Serving || instance.epoch != placement.epoch {
        return Err(Refusal::NotServing(instance.name.clone()));
    }
    check_free(world, placement.instance, placement.booked)?;
    match world.trust(placement.instance) {
        level @ Trust::Quarantine => Err(Refusal::Standing(instance.name.clone(), level)),
        Trust::Trusted | Trust::Probation => Ok(()),
    }
}

/// Checks that an instance has `more` free. Decisions planned on the same world don't take each
/// other into account, so this has to be checked again here.
fn check_free(world: &World, key: key::Instance, more: Size) -> Result<(), Refusal> {
    let instance = world.instances.get(key).ok_or(Refusal::Unknown(Entity::Instance))?;
    let booked = world.booked(key).plus(more.into());
    let fits = booked.fits_in(instance.capacity.into());
    if fits { Ok(()) } else { Err(Refusal::NoRoom(instance.name.clone())) }
}

fn check_running(job: &Job) -> Result<(), Refusal> {
    if matches!(job.state, State::Running(_)) { Ok(()) } else { Err(state_changed(job)) }
}

/// Order of actions: an action may only be replaced by one of the same or a higher stage.
const fn stage(act: Action) -> u8 {
    match act {
        Action::Run => 0,
        Action::Throttle(_) => 1,
        Action::Checkpoint(_) => 2,
        Action::Stop(_) => 3,
    }
}

fn change_attempt(job: &Job, attempt: Attempt) -> Change {
    Change::Job(Job { state: State::Running(attempt), ..job.clone() })
}
