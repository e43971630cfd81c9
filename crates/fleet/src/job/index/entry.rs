//! Index entry of a job.

use std::sync::Arc;

use super::Class;
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

/// Index entry of a job. It records what the job added to the index, so that exactly this can be
/// removed again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) pool: key::Pool,
    pub(crate) team: key::Team,
    pub(crate) kind: Arc<str>,
    pub(super) location: Location,
    /// When a timeout calls for a decision.
    pub(super) due: Option<Time>,
    pub(super) completions: Vec<Completion>,
    /// When the job succeeded and its booking, from which the size of its kind is learned.
    pub(super) sample: Option<(Time, Size)>,
    pub(super) needs_operator: bool,
}

/// Where the index lists a job.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Location {
    /// Nowhere.
    None,
    /// In the queue of its class, by the time of its submission.
    Queue(Class, Time),
    /// Among the jobs that wait for a retry, by the time of the retry.
    Retry(Time),
    /// On an instance.
    Placed(Allocation),
}

/// Resources booked on an instance.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Allocation {
    pub(super) instance: key::Instance,
    pub(super) booked: Size,
    pub(super) priority: Priority,
    /// Whether the attempt can't be checkpointed to free capacity.
    pub(super) non_preemptible: bool,
    /// Since when the attempt is being checkpointed or stopped, if it is.
    pub(super) releasing: Option<Time>,
}

/// An ended attempt that counts for or against the worker of its instance.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Completion {
    pub(super) at: Time,
    pub(super) instance: key::Instance,
    pub(super) number: u32,
    pub(super) succeeded: bool,
}

impl Entry {
    pub(super) fn of(world: &World, job: &Job) -> Self {
        Self {
            pool: job.pool,
            team: job.team,
            kind: Arc::clone(&job.kind),
            location: location(job),
            due: due(world, job),
            completions: job.history.iter().filter_map(completion).collect(),
            sample: sample(job),
            needs_operator: job.state.needs_operator(),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        !matches!(self.location, Location::None) || self.needs_operator
    }
}

fn location(job: &Job) -> Location {
    match &job.state {
        State::Queued if job.retry_at > job.submitted => Location::Retry(job.retry_at),
        State::Queued => Location::Queue(Class::of(job), job.submitted),
        State::Running(attempt) | State::Unknown(attempt, _) => {
            Location::Placed(allocation(job, attempt))
        }
        State::Unresolved(_) | State::Parked(_) | State::Done(_) => Location::None,
    }
}

fn allocation(job: &Job, attempt: &Attempt) -> Allocation {
    Allocation {
        instance: attempt.instance,
        booked: attempt.booked,
        priority: job.spec.priority,
        non_preemptible: !job.spec.preemptible || job.spec.priority == Priority::Urgent,
        releasing: attempt.action.is_ending().then_some(attempt.action_since),
    }
}

fn due(world: &World, job: &Job) -> Option<Time> {
    match &job.state {
        // A loss measured by another process's clock is recorded again at once.
        State::Unknown(_, loss) if loss.clock_id != world.clock_id => Some(Time::ZERO),
        State::Unknown(_, loss) if loss.symptom == Symptom::Unresponsive => Some(loss.until),
        State::Running(attempt) if matches!(attempt.action, Action::Checkpoint(_)) => {
            Some(attempt.action_since + world.limits.checkpoint_grace())
        }
        State::Done(_) => Some(job.since + world.limits.retention()),
        _ => None,
    }
}

fn completion(ended: &Ended) -> Option<Completion> {
    let succeeded = ended.outcome.worker_success()?;
    Some(Completion { at: ended.at, instance: ended.instance, number: ended.number, succeeded })
}

fn sample(job: &Job) -> Option<(Time, Size)> {
    matches!(job.state, State::Done(End::Succeeded)).then_some((job.since, job.need))
}
