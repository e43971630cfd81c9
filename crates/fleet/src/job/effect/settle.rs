//! Effects of cancelling, resolving and deleting jobs.

use super::find_job;
use super::into_state;
use super::state_changed;
use crate::decision::Refusal;
use crate::job::Action;
use crate::job::Cause;
use crate::job::End;
use crate::job::Fault;
use crate::job::Job;
use crate::job::Resolution;
use crate::job::State;
use crate::key;
use crate::time::Time;
use crate::world::Change;
use crate::world::World;

pub(super) fn cancel(world: &World, key: key::Job, now: Time) -> Result<Change, Refusal> {
    let job = find_job(world, key)?;
    let cancelled = match &job.state {
        State::Queued | State::Parked(_) | State::Unresolved(_) => {
            into_state(job, State::Done(End::Cancelled), now)
        }
        State::Running(attempt) => {
            let stop = Action::Stop(Cause::Cancelled);
            let stopping = crate::job::Attempt { action: stop, action_since: now, ..*attempt };
            Job { state: State::Running(stopping), ..job.clone() }
        }
        State::Unknown(..) => job.clone(),
        State::Done(_) => return Err(state_changed(job)),
    };
    Ok(Change::Job(Job { cancelled: true, ..cancelled }))
}

pub(super) fn resolve(
    world: &World,
    key: key::Job,
    resolution: Resolution,
    now: Time,
) -> Result<Change, Refusal> {
    let job = find_job(world, key)?;
    if !job.state.needs_operator() {
        return Err(state_changed(job));
    }
    let state = match resolution {
        Resolution::Requeue => State::Queued,
        Resolution::Succeeded => State::Done(End::Succeeded),
        Resolution::Failed => State::Done(End::Failed(Fault::Operator)),
    };
    let resolved = into_state(job, state, now);
    Ok(Change::Job(match resolution {
        Resolution::Requeue => Job { history: Vec::new(), retry_at: job.submitted, ..resolved },
        Resolution::Succeeded | Resolution::Failed => resolved,
    }))
}

pub(super) fn forget(world: &World, key: key::Job) -> Result<Change, Refusal> {
    let job = find_job(world, key)?;
    if !matches!(job.state, State::Done(_)) {
        return Err(state_changed(job));
    }
    Ok(Change::JobGone(job.name.clone()))
}
