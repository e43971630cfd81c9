//! Commands for a worker, from the recorded state and the worker's report.
//!
//! Commands follow from the tables alone, so the next holder of the duty sends the same ones
//! again. Commands are idempotent: each may be sent any number of times.

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

/// A command for a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start an attempt.
    Start {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
        /// Resources that it may use.
        size: Size,
        /// Kind of job.
        kind: String,
        /// Input for the task, as submitted.
        input: String,
        /// Location of the checkpoint to resume from.
        checkpoint: Option<String>,
    },
    /// Limit the resources that an attempt may use.
    Throttle {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
        /// Resources that it may use.
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
    /// Drop an ended attempt from the reports, since its end is recorded.
    Forget {
        /// Name of the job.
        job: String,
        /// Number of the attempt.
        number: u32,
    },
}

/// The commands for the worker that sent `report`.
///
/// Only the holder of the pool's duty may call this, after it has applied every row recorded
/// before it acquired the duty: attempts missing from the tables are stopped.
pub fn commands(world: &World, index: &Index, report: &fact::Report) -> Vec<Command> {
    let mut listed = BTreeMap::new();
    let mut commands = Vec::new();
    for attempt in &report.attempts {
        listed.insert((attempt.job.as_str(), attempt.number), attempt.phase);
        commands.extend(listed_command(world, report.instance, attempt));
    }
    for job in index.placed(report.instance) {
        let Some(job) = world.jobs.get(job) else { continue };
        let State::Running(attempt) = &job.state else { continue };
        let is_listed = listed.contains_key(&(job.name.as_str(), attempt.number));
        if !is_listed && attempt.boot == report.boot && !attempt.action.is_ending() {
            commands.push(start(job, attempt));
        }
    }
    commands
}

fn listed_command(
    world: &World,
    instance: key::Instance,
    listed: &fact::Attempt,
) -> Option<Command> {
    let (job, number) = (listed.job.clone(), listed.number);
    let known = world.names.jobs.get(&listed.job).and_then(|&key| world.jobs.get(key));
    let open = known.and_then(|known| known.state.open());
    let open = open.filter(|open| open.number == number && open.instance == instance);
    match (open, has_ended(listed.phase)) {
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

/// Whether an attempt in this phase has ended and uses no resources any more.
pub(super) const fn has_ended(phase: fact::Phase) -> bool {
    use fact::Phase;
    matches!(phase, Phase::Checkpointed | Phase::Succeeded | Phase::Failed | Phase::Stopped)
}
