//! Attempts on instances that take no new ones.

use super::Scratch;
use crate::instance;
use crate::job::Action;
use crate::job::Attempt;
use crate::job::Cause;
use crate::job::Decision;
use crate::job::Job;
use crate::job::State;
use crate::job::Symptom;
use crate::job::index::Book;
use crate::job::index::Spot;
use crate::job::observe;
use crate::key;

/// Takes work off draining instances and gives up what instances that are gone still held.
pub(super) fn run(step: &mut Scratch<'_>, book: &Book) {
    for &instance in &book.away {
        let Some(spot) = step.index.node(instance).and_then(|node| node.spot.as_ref()) else {
            continue;
        };
        for key in step.index.placed(instance) {
            if step.is_full() {
                return;
            }
            let Some(job) = step.world.jobs.get(key) else { continue };
            let State::Running(attempt) = &job.state else { continue };
            step.decisions.extend(decide(step, spot, (key, job), attempt));
        }
    }
}

fn decide(
    step: &Scratch<'_>,
    spot: &Spot,
    (key, job): (key::Job, &Job),
    attempt: &Attempt,
) -> Option<Decision> {
    match spot.state {
        instance::State::Draining | instance::State::Drained => {
            leave(step, spot, (key, job), attempt)
        }
        instance::State::Gone => {
            let loss = observe::loss(step.world, Symptom::Unresponsive, step.now);
            Some(Decision::Lost { job: key, number: attempt.number, loss })
        }
        instance::State::Serving
        | instance::State::Stopped
        | instance::State::Checking
        | instance::State::Failed => None,
    }
}

fn leave(
    step: &Scratch<'_>,
    spot: &Spot,
    (job, found): (key::Job, &Job),
    attempt: &Attempt,
) -> Option<Decision> {
    if !matches!(attempt.action, Action::Run | Action::Throttle(_)) {
        return None;
    }
    let (number, cause) = (attempt.number, Cause::Drain);
    if found.spec.preemptible {
        return Some(Decision::Checkpoint { job, number, cause });
    }
    let overdue = step.now >= spot.since + step.world.limits.drain();
    (overdue && found.may_repeat()).then_some(Decision::Stop { job, number, cause })
}
