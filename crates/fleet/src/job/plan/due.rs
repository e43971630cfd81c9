//! Decisions that follow from timeouts.

use super::Planner;
use crate::job::Action;
use crate::job::Decision;
use crate::job::Job;
use crate::job::State;
use crate::job::Symptom;
use crate::job::index::PoolIndex;
use crate::job::observe;
use crate::key;

/// Decides on expired leases, overdue checkpoints, and losses that a previous holder of the duty
/// recorded.
pub(super) fn run(planner: &mut Planner<'_>, pool_index: &PoolIndex) {
    for (_, key) in pool_index.due.iter().take_while(|(due, _)| *due <= planner.now) {
        if planner.is_full() {
            return;
        }
        let Some(job) = planner.world.jobs.get(*key) else { continue };
        planner.decisions.extend(decide(planner, *key, job));
    }
}

/// Deletes ended jobs whose retention time has passed.
pub(super) fn forget(planner: &mut Planner<'_>, pool_index: &PoolIndex) {
    for (_, key) in pool_index.due.iter().take_while(|(due, _)| *due <= planner.now) {
        if planner.is_full() {
            return;
        }
        let state = planner.world.jobs.get(*key).map(|job| &job.state);
        if matches!(state, Some(State::Done(_))) {
            planner.decisions.push(Decision::Forget { job: *key });
        }
    }
}

fn decide(planner: &Planner<'_>, key: key::Job, job: &Job) -> Option<Decision> {
    let (world, now) = (planner.world, planner.now);
    match &job.state {
        State::Unknown(attempt, loss) if loss.clock_id != world.clock_id => {
            let loss = observe::loss(world, loss.symptom, now);
            Some(Decision::Lost { job: key, number: attempt.number, loss })
        }
        State::Unknown(attempt, loss)
            if loss.symptom == Symptom::Unresponsive && world.clock_id != 0 =>
        {
            Some(observe::expire(world, key, job, attempt, now))
        }
        State::Running(attempt) if job.may_repeat() => match attempt.action {
            Action::Checkpoint(cause) => {
                Some(Decision::Stop { job: key, number: attempt.number, cause })
            }
            Action::Run | Action::Throttle(_) | Action::Stop(_) => None,
        },
        _ => None,
    }
}
