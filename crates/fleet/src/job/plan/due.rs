//! What time alone brings on.

use super::Scratch;
use crate::job::Action;
use crate::job::Decision;
use crate::job::Job;
use crate::job::State;
use crate::job::Symptom;
use crate::job::index::Book;
use crate::job::observe;
use crate::key;

/// Lapses, overdue checkpoints, and losses that an earlier holder of the duty recorded.
pub(super) fn run(step: &mut Scratch<'_>, book: &Book) {
    for (_, key) in book.due.iter().take_while(|(due, _)| *due <= step.now) {
        if step.is_full() {
            return;
        }
        let Some(job) = step.world.jobs.get(*key) else { continue };
        step.decisions.extend(due(step, *key, job));
    }
}

/// Jobs that have been over for long.
pub(super) fn forget(step: &mut Scratch<'_>, book: &Book) {
    for (_, key) in book.due.iter().take_while(|(due, _)| *due <= step.now) {
        if step.is_full() {
            return;
        }
        let state = step.world.jobs.get(*key).map(|job| &job.state);
        if matches!(state, Some(State::Done(_))) {
            step.decisions.push(Decision::Forget { job: *key });
        }
    }
}

fn due(step: &Scratch<'_>, key: key::Job, job: &Job) -> Option<Decision> {
    let (world, now) = (step.world, step.now);
    match &job.state {
        State::Unknown(attempt, loss) if loss.clock_id != world.clock_id => {
            let loss = observe::loss(world, loss.symptom, now);
            Some(Decision::Lost { job: key, number: attempt.number, loss })
        }
        State::Unknown(attempt, loss)
            if loss.symptom == Symptom::Unresponsive && world.clock_id != 0 =>
        {
            Some(observe::lapse(world, key, job, attempt, now))
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
