//! Evicts attempts from instances that accept no new ones.

use super::Planner;
use crate::instance;
use crate::job::Action;
use crate::job::Attempt;
use crate::job::Cause;
use crate::job::Decision;
use crate::job::Job;
use crate::job::State;
use crate::job::Symptom;
use crate::job::index::Attributes;
use crate::job::index::PoolIndex;
use crate::job::observe;
use crate::key;

/// Ends attempts on draining instances, and declares attempts on gone instances lost.
pub(super) fn run(planner: &mut Planner<'_>, pool_index: &PoolIndex) {
    for &instance in &pool_index.unavailable {
        let Some(attributes) =
            planner.index.instance(instance).and_then(|found| found.attributes.as_ref())
        else {
            continue;
        };
        for key in planner.index.placed(instance) {
            if planner.is_full() {
                return;
            }
            let Some(job) = planner.world.jobs.get(key) else { continue };
            let State::Running(attempt) = &job.state else { continue };
            planner.decisions.extend(decide(planner, attributes, (key, job), attempt));
        }
    }
}

fn decide(
    planner: &Planner<'_>,
    attributes: &Attributes,
    (key, job): (key::Job, &Job),
    attempt: &Attempt,
) -> Option<Decision> {
    match attributes.state {
        instance::State::Draining | instance::State::Drained => {
            evict(planner, attributes, (key, job), attempt)
        }
        instance::State::Gone => {
            let loss = observe::loss(planner.world, Symptom::Unresponsive, planner.now);
            Some(Decision::Lost { job: key, number: attempt.number, loss })
        }
        instance::State::Serving
        | instance::State::Stopped
        | instance::State::Checking
        | instance::State::Failed => None,
    }
}

fn evict(
    planner: &Planner<'_>,
    attributes: &Attributes,
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
    let overdue = planner.now >= attributes.since + planner.world.limits.drain();
    (overdue && found.may_repeat()).then_some(Decision::Stop { job, number, cause })
}
