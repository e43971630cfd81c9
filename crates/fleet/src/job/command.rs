//! What a worker is to be told, by what is recorded and what it reports.
//!
//! Orders follow from the tables alone, so that whoever holds the duty next gives the same ones
//! again; each may be given any number of times.

use std::collections::BTreeMap;

use super::Action;
use super::Attempt;
use super::Index;
use super::Job;
use super::State;
use crate::config::Size;
use crate::fact;
use crate::key;
use crate::world::World;

/// One thing that a worker is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start an attempt.
    Start {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
        /// What it may use.
        size: Size,
        /// Kind of job.
        kind: String,
        /// What the submitter handed in.
        input: String,
        /// Checkpoint to go on from.
        checkpoint: Option<String>,
    },
    /// Hold an attempt to less.
    Throttle {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
        /// What it may use.
        to: Size,
    },
    /// Have an attempt write a checkpoint and end.
    Checkpoint {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
    },
    /// Stop an attempt.
    Stop {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
    },
    /// Drop an ended attempt from the reports: its end is recorded.
    Forget {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
    },
}

/// What the worker of a report is to be told.
///
/// To be asked only by the holder of the pool's duty, once it has absorbed all that was recorded
/// before it took the duty up: an attempt that is in no table is stopped.
pub fn commands(world: &World, index: &Index, report: &fact::Report) -> Vec<Command> {
    let mut listed = BTreeMap::new();
    let mut orders = Vec::new();
    for attempt in &report.attempts {
        listed.insert((attempt.job.as_str(), attempt.number), attempt.phase);
        orders.extend(listed_order(world, report.instance, attempt));
    }
    for job in index.placed(report.instance) {
        let Some(job) = world.jobs.get(job) else { continue };
        let State::Running(attempt) = &job.state else { continue };
        let is_listed = listed.contains_key(&(job.name.as_str(), attempt.number));
        if !is_listed && attempt.boot == report.boot && !attempt.action.is_ending() {
            orders.push(start(job, attempt));
        }
    }
    orders
}

fn listed_order(world: &World, instance: key::Instance, listed: &fact::Attempt) -> Option<Command> {
    let (job, number) = (listed.job.clone(), listed.number);
    let known = world.names.jobs.get(&listed.job).and_then(|&key| world.jobs.get(key));
    let open = known.and_then(|known| known.state.open());
    let open = open.filter(|open| open.number == number && open.instance == instance);
    match (open, is_over(listed.phase)) {
        (None, true) => Some(Command::Forget { job, number }),
        (None, false) => Some(Command::Stop { job, number }),
        (Some(_), true) => None,
        (Some(attempt), false) => match attempt.action {
            Action::Run => None,
            Action::Throttle(_) if listed.phase == fact::Phase::Throttled => None,
            Action::Throttle(to) => Some(Command::Throttle { job, number, to }),
            Action::Checkpoint(_) => Some(Command::Checkpoint { job, number }),
            Action::Stop(_) => Some(Command::Stop { job, number }),
        },
    }
}

fn start(job: &Job, attempt: &Attempt) -> Command {
    Command::Start {
        job: job.name.clone(),
        number: attempt.number,
        size: attempt.booked,
        kind: job.kind.to_string(),
        input: job.input.clone(),
        checkpoint: job.checkpoint.clone(),
    }
}

/// Whether an attempt in this phase uses nothing any more and never will.
pub(super) const fn is_over(phase: fact::Phase) -> bool {
    use fact::Phase;
    matches!(phase, Phase::Checkpointed | Phase::Succeeded | Phase::Failed | Phase::Stopped)
}
