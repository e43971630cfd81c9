//! Lost attempts, and what follows once their lease has expired.

use crate::job::Attempt;
use crate::job::Decision;
use crate::job::End;
use crate::job::Fault;
use crate::job::Index;
use crate::job::Job;
use crate::job::Loss;
use crate::job::Outcome;
use crate::job::State;
use crate::job::Symptom;
use crate::key;
use crate::time::Time;
use crate::world::World;

/// A loss recorded now, measured by this process's clock.
pub(crate) fn loss(world: &World, symptom: Symptom, now: Time) -> Loss {
    Loss { symptom, until: now + world.limits.certain_expiry(), clock_id: world.clock_id }
}

pub(super) fn declare_lost(
    world: &World,
    (job, number): (key::Job, u32),
    symptom: Symptom,
    now: Time,
) -> Decision {
    Decision::Lost { job, number, loss: loss(world, symptom, now) }
}

/// Declares all attempts lost on an instance that does not answer.
pub(super) fn unresponsive(
    world: &World,
    index: &Index,
    instance: key::Instance,
    now: Time,
) -> Vec<Decision> {
    let declare_lost = |key| {
        let attempt = match &world.jobs.get(key)?.state {
            State::Running(attempt) => attempt,
            State::Unknown(attempt, loss) if loss.symptom == Symptom::Missing => attempt,
            _ => return None,
        };
        Some(declare_lost(world, (key, attempt.number), Symptom::Unresponsive, now))
    };
    index.placed(instance).filter_map(declare_lost).collect()
}

/// The decision on a job whose lost attempt has certainly ended.
pub(crate) fn expire(
    world: &World,
    key: key::Job,
    job: &Job,
    attempt: &Attempt,
    now: Time,
) -> Decision {
    let ended = (attempt.number, Outcome::Lost);
    if job.cancelled {
        return Decision::Finish { job: key, attempt: Some(ended), end: End::Cancelled };
    }
    if !job.may_repeat() {
        return Decision::Ask { job: key, number: attempt.number };
    }
    let losses = 1 + job.count(Outcome::Lost);
    if losses >= world.limits.attempts {
        return Decision::Park { job: key, attempt: Some(ended), fault: Fault::LosesWorkers };
    }
    Decision::Requeue {
        job: key,
        number: attempt.number,
        outcome: Outcome::Lost,
        retry_at: now + world.limits.backoff(losses),
        need: job.need,
        checkpoint: None,
    }
}
