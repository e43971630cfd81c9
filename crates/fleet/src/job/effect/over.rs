//! Effects of an attempt's end.

use super::into_state;
use super::known;
use super::moved;
use super::open;
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

/// How a job goes on after an attempt.
pub(super) struct Again<'a> {
    pub(super) retry_at: Time,
    pub(super) need: Size,
    pub(super) checkpoint: &'a Option<String>,
}

pub(super) fn requeue(
    world: &World,
    (key, number, outcome): (key::Job, u32, Outcome),
    again: Again<'_>,
    now: Time,
) -> Result<Change, Refusal> {
    let (job, attempt) = open(world, (key, number))?;
    if !job.may_repeat() && !goes_on(outcome) {
        return Err(Refusal::MayNotRepeat(job.name.clone()));
    }
    let next = into_state(job, State::Queued, now);
    let next = Job {
        retry_at: again.retry_at,
        need: again.need,
        checkpoint: again.checkpoint.clone().or_else(|| job.checkpoint.clone()),
        ..remember(next, &attempt, outcome, now)
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
        let job = known(world, key)?;
        let idle = job.state.open().is_none() && !matches!(job.state, State::Done(_));
        return if idle { Ok(Change::Job(into_state(job, state, now))) } else { Err(moved(job)) };
    };
    let (job, attempt) = open(world, (key, number))?;
    let need = match state {
        State::Done(End::Succeeded) => attempt.booked,
        _ => job.need,
    };
    let closed = into_state(job, state, now);
    Ok(Change::Job(Job { need, ..remember(closed, &attempt, outcome, now) }))
}

/// Whether a job that may not run twice goes on after such an end, since nothing runs again.
const fn goes_on(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Refused | Outcome::Checkpointed)
}

/// The same job with one more ended attempt in its history.
fn remember(mut job: Job, attempt: &Attempt, outcome: Outcome, now: Time) -> Job {
    let ended = Ended { number: attempt.number, instance: attempt.instance, at: now, outcome };
    if job.history.len() >= MAX_HISTORY {
        job.history.remove(0);
    }
    job.history.push(ended);
    job
}
