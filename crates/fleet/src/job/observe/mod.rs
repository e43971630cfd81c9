//! Decisions that follow from a worker's report, its refusal or its loss.
//!
//! A worker's lease may only be renewed from the time of a report, and only once the decisions that
//! follow from this report are recorded. A lost attempt that a report lists again is thus recorded as
//! found before its lease is renewed. If an attempt stays lost, its lease has certainly expired once
//! [`Limits::certain_expiry`](super::Limits::certain_expiry) has passed since the loss was recorded.

mod ended;
mod lost;
mod overrun;
mod resize;

use std::collections::BTreeSet;

use super::Decision;
use super::Index;
use super::Job;
use super::State;
use super::Symptom;
use super::command::has_ended;
use crate::fact;
use crate::fact::Fact;
use crate::key;
use crate::time::Time;
use crate::world::World;

pub(super) use lost::expire;
pub(super) use lost::loss;

/// The decisions that a fact calls for.
pub fn observe(world: &World, index: &Index, fact: &Fact, now: Time) -> Vec<Decision> {
    match fact {
        Fact::Report(report) => observe_report(world, index, report, now),
        Fact::Unresponsive(instance) | Fact::Unlisted(instance) => {
            lost::unresponsive(world, index, *instance, now)
        }
        Fact::Refused { instance, job, number } => {
            ended::refused(world, (*instance, job, *number), now).into_iter().collect()
        }
        Fact::Listed { .. }
        | Fact::Healthy(_)
        | Fact::Restarted(_)
        | Fact::Quiesced(_)
        | Fact::Unacknowledged { .. }
        | Fact::Demand(_) => Vec::new(),
    }
}

fn observe_report(world: &World, index: &Index, report: &fact::Report, now: Time) -> Vec<Decision> {
    let mut decisions = Vec::new();
    let mut running = overrun::Attempts::default();
    let mut listed = BTreeSet::new();
    for attempt in &report.attempts {
        let Some((key, job)) = reported_job(world, report.instance, attempt) else { continue };
        listed.insert(key);
        if has_ended(attempt.phase) {
            decisions.push(ended::ended(world, (key, job), attempt, now));
            continue;
        }
        match &job.state {
            State::Running(placed) => running.push(key, job, placed, attempt),
            _ => decisions.push(Decision::Found { job: key, number: attempt.number }),
        }
    }
    for key in index.placed(report.instance) {
        if !listed.contains(&key) {
            decisions.extend(missing(world, key, report, now));
        }
    }
    decisions.extend(running.decide(world, index, report));
    decisions
}

/// The job whose open attempt is the listed one.
fn reported_job<'a>(
    world: &'a World,
    instance: key::Instance,
    listed: &fact::Attempt,
) -> Option<(key::Job, &'a Job)> {
    let key = *world.names.jobs.get(&listed.job)?;
    let job = world.jobs.get(key)?;
    let open = job.state.open()?;
    let same = open.number == listed.number && open.instance == instance;
    same.then_some((key, job))
}

/// The decision on an attempt that its worker's report does not list.
fn missing(world: &World, key: key::Job, report: &fact::Report, now: Time) -> Option<Decision> {
    let job = world.jobs.get(key)?;
    let taken = report.taken;
    if let Some(attempt) = job.state.placed().filter(|attempt| attempt.boot != report.boot) {
        // No attempt survives a restart of the worker, and a worker of another boot refuses the
        // start command.
        return Some(expire(world, key, job, attempt, now));
    }
    match &job.state {
        State::Running(attempt) => {
            let is_overdue = taken >= attempt.started + world.limits.start_grace();
            is_overdue
                .then(|| lost::declare_lost(world, (key, attempt.number), Symptom::Missing, now))
        }
        State::Unknown(attempt, loss) => {
            if loss.clock_id != world.clock_id || loss.symptom == Symptom::Unresponsive {
                return Some(lost::declare_lost(
                    world,
                    (key, attempt.number),
                    Symptom::Missing,
                    now,
                ));
            }
            (world.clock_id != 0 && taken >= loss.until)
                .then(|| expire(world, key, job, attempt, now))
        }
        _ => None,
    }
}
