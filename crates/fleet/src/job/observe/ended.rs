//! Attempts that have ended or were refused.

use crate::config::Size;
use crate::fact;
use crate::fact::Phase;
use crate::job::Action;
use crate::job::Cause;
use crate::job::Decision;
use crate::job::End;
use crate::job::Fault;
use crate::job::Job;
use crate::job::Outcome;
use crate::job::Trust;
use crate::key;
use crate::time::Time;
use crate::world::World;

/// Need of the next attempt after an overrun, percent of the larger of the job's need and the ended
/// attempt's booking.
const OVERRUN_PERCENT: u32 = 150;

/// The decision on a job whose attempt is reported as ended.
pub(super) fn ended(
    world: &World,
    (key, job): (key::Job, &Job),
    listed: &fact::Attempt,
    now: Time,
) -> Decision {
    match listed.phase {
        Phase::Succeeded => finish(key, (listed.number, Outcome::Succeeded), End::Succeeded),
        Phase::Failed => failed(world, (key, job), listed.number, now),
        Phase::Checkpointed => checkpointed((key, job), listed),
        Phase::Stopped | Phase::Running | Phase::Throttled => {
            stopped(world, (key, job), listed.number, now)
        }
    }
}

/// The decision on a job whose worker refused the attempt. It never ran, so even a job that may not
/// run twice may be placed again.
pub(super) fn refused(
    world: &World,
    (instance, name, number): (key::Instance, &str, u32),
    now: Time,
) -> Option<Decision> {
    let key = *world.names.jobs.get(name)?;
    let job = world.jobs.get(key)?;
    let attempt = job.state.open()?;
    if attempt.number != number || attempt.instance != instance {
        return None;
    }
    let ended = (number, Outcome::Refused);
    if job.cancelled {
        return Some(finish(key, ended, End::Cancelled));
    }
    let refusals = 1 + job.count(Outcome::Refused);
    Some(requeue(key, ended, job.need, now + world.limits.backoff(refusals)))
}

fn failed(world: &World, (key, job): (key::Job, &Job), number: u32, now: Time) -> Decision {
    let ended = (number, Outcome::Failed);
    if job.cancelled {
        return finish(key, ended, End::Cancelled);
    }
    if !job.may_repeat() {
        return finish(key, ended, End::Failed(Fault::Failed));
    }
    let healthy = |instance| world.trust(instance) != Trust::Quarantine;
    let failures = 1 + job.failures(healthy);
    if failures >= world.limits.attempts {
        return park(key, ended, Fault::FailsEverywhere);
    }
    requeue(key, ended, job.need, now + world.limits.backoff(failures))
}

fn checkpointed((key, job): (key::Job, &Job), listed: &fact::Attempt) -> Decision {
    let ended = (listed.number, Outcome::Checkpointed);
    if job.cancelled {
        return finish(key, ended, End::Cancelled);
    }
    Decision::Requeue {
        job: key,
        number: listed.number,
        outcome: Outcome::Checkpointed,
        retry_at: job.submitted,
        need: next_need(job),
        checkpoint: listed.checkpoint.clone(),
    }
}

fn stopped(world: &World, (key, job): (key::Job, &Job), number: u32, now: Time) -> Decision {
    let ended = (number, Outcome::Stopped);
    if job.cancelled {
        return finish(key, ended, End::Cancelled);
    }
    let overran = stop_cause(job) == Some(Cause::Overrun);
    if !job.may_repeat() {
        return park(key, ended, if overran { Fault::Overruns } else { Fault::Interrupted });
    }
    if !overran {
        return requeue(key, ended, job.need, job.submitted);
    }
    let stops = 1 + job.count(Outcome::Stopped);
    if stops >= world.limits.attempts {
        return park(key, ended, Fault::Overruns);
    }
    requeue(key, ended, next_need(job), now + world.limits.backoff(stops))
}

/// The cause for which a job's open attempt is being checkpointed or stopped; `None` if it is not.
fn stop_cause(job: &Job) -> Option<Cause> {
    match job.state.open()?.action {
        Action::Checkpoint(cause) | Action::Stop(cause) => Some(cause),
        Action::Run | Action::Throttle(_) => None,
    }
}

/// Need of the next attempt: raised if this one was ended for an overrun.
fn next_need(job: &Job) -> Size {
    let booked = job.state.open().map(|attempt| attempt.booked).unwrap_or_default();
    match stop_cause(job) {
        Some(Cause::Overrun) => job.need.component_max(booked).percent(OVERRUN_PERCENT),
        _ => job.need,
    }
}

const fn finish(job: key::Job, ended: (u32, Outcome), end: End) -> Decision {
    Decision::Finish { job, attempt: Some(ended), end }
}

const fn park(job: key::Job, ended: (u32, Outcome), fault: Fault) -> Decision {
    Decision::Park { job, attempt: Some(ended), fault }
}

const fn requeue(
    job: key::Job,
    (number, outcome): (u32, Outcome),
    need: Size,
    retry_at: Time,
) -> Decision {
    Decision::Requeue { job, number, outcome, retry_at, need, checkpoint: None }
}
