//! What a worker is to be told, by what is recorded and what it reports.
//!
//! Orders follow from the tables alone, so that whoever holds the duty next gives the same ones
//! again; each may be given any number of times.

use std::collections::BTreeMap;

use super::Attempt;
use super::Index;
use super::Job;
use super::State;
use super::Step;
use crate::config::Size;
use crate::fact;
use crate::key;
use crate::world::World;

/// One thing that a worker is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
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
pub fn orders(world: &World, index: &Index, report: &fact::Report) -> Vec<Order> {
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
        if !is_listed && attempt.boot == report.boot && !attempt.step.leaves() {
            orders.push(start(job, attempt));
        }
    }
    orders
}

fn listed_order(world: &World, instance: key::Instance, listed: &fact::Attempt) -> Option<Order> {
    let (job, number) = (listed.job.clone(), listed.number);
    let known = world.names.jobs.get(&listed.job).and_then(|&key| world.jobs.get(key));
    let open = known.and_then(|known| known.state.open());
    let open = open.filter(|open| open.number == number && open.instance == instance);
    match (open, is_over(listed.phase)) {
        (None, true) => Some(Order::Forget { job, number }),
        (None, false) => Some(Order::Stop { job, number }),
        (Some(_), true) => None,
        (Some(attempt), false) => match attempt.step {
            Step::Run => None,
            Step::Throttle(_) if listed.phase == fact::Phase::Throttled => None,
            Step::Throttle(to) => Some(Order::Throttle { job, number, to }),
            Step::Checkpoint(_) => Some(Order::Checkpoint { job, number }),
            Step::Stop(_) => Some(Order::Stop { job, number }),
        },
    }
}

fn start(job: &Job, attempt: &Attempt) -> Order {
    Order::Start {
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
