//! Effects of the end of an attempt.

use super::find_job;
use super::into_state;
use super::open_attempt;
use super::state_changed;
use crate::config::Size;
use crate::decision::Refusal;
use crate::job::Attempt;
use crate::job::End;
use crate::job::Ended;
use crate::job::Job;
use crate::job::MAX_HISTORY;
use crate::job::Outcome;
use crate::job::State;
use crate::key;
use crate::time::Time;
use crate::world::Change;
use crate::world::World;

/// Earliest time, need and checkpoint of a requeued job's next attempt.
pub(super) struct Retry<'a> {
    pub(super) retry_at: Time,
    pub(super) need: Size,
    pub(super) checkpoint: &'a Option<String>,
}

pub(super) fn requeue(
    world: &World,
    (key, number, outcome): (key::Job, u32, Outcome),
    retry: Retry<'_>,
    now: Time,
) -> Result<Change, Refusal> {
    let (job, attempt) = open_attempt(world, (key, number))?;
    if !job.may_repeat() && !is_safe_to_continue(outcome) {
        return Err(Refusal::MayNotRepeat(job.name.clone()));
    }
    let next = into_state(job, State::Queued, now);
    let next = Job {
        retry_at: retry.retry_at,
        need: retry.need,
        checkpoint: retry.checkpoint.clone().or_else(|| job.checkpoint.clone()),
        ..add_to_history(next, &attempt, outcome, now)
    };
    Ok(Change::Job(next))
}

pub(super) fn close(
    world: &World,
    key: key::Job,
    ended: Option<(u32, Outcome)>,
    state: State,
    now: Time,
) -> Result<Change, Refusal> {
    let Some((number, outcome)) = ended else {
        let job = find_job(world, key)?;
        let may_close = job.state.open().is_none() && !matches!(job.state, State::Done(_));
        return if may_close {
            Ok(Change::Job(into_state(job, state, now)))
        } else {
            Err(state_changed(job))
        };
    };
    let (job, attempt) = open_attempt(world, (key, number))?;
    // The index learns the size of a kind from the need of its succeeded jobs.
    let need = match state {
        State::Done(End::Succeeded) => attempt.booked,
        _ => job.need,
    };
    let closed = into_state(job, state, now);
    Ok(Change::Job(Job { need, ..add_to_history(closed, &attempt, outcome, now) }))
}

/// Whether a job that may not run twice may be requeued after an attempt with this outcome: the
/// attempt never ran, or wrote a checkpoint to resume from.
const fn is_safe_to_continue(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Refused | Outcome::Checkpointed)
}

/// The job with an ended attempt added to its history.
fn add_to_history(mut job: Job, attempt: &Attempt, outcome: Outcome, now: Time) -> Job {
    let ended = Ended { number: attempt.number, instance: attempt.instance, at: now, outcome };
    if job.history.len() >= MAX_HISTORY {
        job.history.remove(0);
    }
    job.history.push(ended);
    job
}
