//! What an index counts for one job.

use std::sync::Arc;

use super::Group;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Action;
use crate::job::Attempt;
use crate::job::End;
use crate::job::Ended;
use crate::job::Job;
use crate::job::State;
use crate::job::Symptom;
use crate::key;
use crate::time::Time;
use crate::world::World;

/// What an index counts for one job; taken out as it was put in.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) pool: key::Pool,
    pub(crate) team: key::Team,
    pub(crate) kind: Arc<str>,
    pub(super) place: Place,
    /// When time alone brings on a decision.
    pub(super) due: Option<Time>,
    pub(super) verdicts: Vec<Verdict>,
    /// When it succeeded, and what was booked for it then.
    pub(super) sample: Option<(Time, Size)>,
    pub(super) person: bool,
}

/// Where a job is counted.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Place {
    /// Nowhere.
    None,
    /// In a queue, by the time of its submission.
    Queue(Group, Time),
    /// Among those that wait for a retry.
    Retry(Time),
    /// At an instance.
    Node(Placed),
}

/// Room booked at an instance.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Placed {
    pub(super) instance: key::Instance,
    pub(super) booked: Size,
    pub(super) priority: Priority,
    /// Whether it cannot be checkpointed to make room.
    pub(super) firm: bool,
    /// Since when it is being checkpointed or stopped.
    pub(super) leaving: Option<Time>,
}

/// What an ended attempt says of its instance.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Verdict {
    pub(super) at: Time,
    pub(super) instance: key::Instance,
    pub(super) number: u32,
    pub(super) good: bool,
}

impl Entry {
    pub(super) fn of(world: &World, job: &Job) -> Self {
        Self {
            pool: job.pool,
            team: job.team,
            kind: Arc::clone(&job.kind),
            place: place(job),
            due: due(world, job),
            verdicts: job.history.iter().filter_map(verdict).collect(),
            sample: sample(job),
            person: job.state.needs_operator(),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        !matches!(self.place, Place::None) || self.person
    }
}

fn place(job: &Job) -> Place {
    match &job.state {
        State::Queued if job.retry_at > job.submitted => Place::Retry(job.retry_at),
        State::Queued => Place::Queue(Group::of(job), job.submitted),
        State::Running(attempt) | State::Unknown(attempt, _) => Place::Node(placed(job, attempt)),
        State::Unresolved(_) | State::Parked(_) | State::Done(_) => Place::None,
    }
}

fn placed(job: &Job, attempt: &Attempt) -> Placed {
    Placed {
        instance: attempt.instance,
        booked: attempt.booked,
        priority: job.spec.priority,
        firm: !job.spec.preemptible || job.spec.priority == Priority::Urgent,
        leaving: attempt.action.is_ending().then_some(attempt.action_since),
    }
}

fn due(world: &World, job: &Job) -> Option<Time> {
    match &job.state {
        State::Unknown(_, loss) if loss.clock_id != world.clock_id => Some(Time::ZERO),
        State::Unknown(_, loss) if loss.symptom == Symptom::Unresponsive => Some(loss.until),
        State::Running(attempt) if matches!(attempt.action, Action::Checkpoint(_)) => {
            Some(attempt.action_since + world.limits.checkpoint_grace())
        }
        State::Done(_) => Some(job.since + world.limits.retention()),
        _ => None,
    }
}

fn verdict(ended: &Ended) -> Option<Verdict> {
    let good = ended.outcome.worker_success()?;
    Some(Verdict { at: ended.at, instance: ended.instance, number: ended.number, good })
}

fn sample(job: &Job) -> Option<(Time, Size)> {
    matches!(job.state, State::Done(End::Succeeded)).then_some((job.since, job.need))
}
