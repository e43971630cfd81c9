//! Requests to cancel jobs, and to settle jobs that need an operator.

use super::Decision;
use super::Index;
use super::Resolution;
use super::State;
use crate::key;
use crate::world::World;

/// The decision that cancels a job; `None` if the job is unknown or has ended, or its cancellation
/// was requested before.
pub fn cancel(world: &World, job: key::Job) -> Option<Decision> {
    let found = world.jobs.get(job)?;
    let pointless = found.cancelled || matches!(found.state, State::Done(_));
    (!pointless).then_some(Decision::Cancel { job })
}

/// The decisions that cancel a team's jobs, or only its jobs of one kind. Reads no jobs of other
/// teams.
pub fn cancel_team(
    world: &World,
    index: &Index,
    team: key::Team,
    kind: Option<&str>,
) -> Vec<Decision> {
    let wanted = |job: &key::Job| {
        let job = world.jobs.get(*job);
        job.is_some_and(|job| kind.is_none_or(|kind| *job.kind == *kind))
    };
    index.of_team(team).filter(wanted).filter_map(|job| cancel(world, job)).collect()
}

/// The decision that settles a job which needs an operator; `None` for any other job.
pub fn resolve(world: &World, job: key::Job, resolution: Resolution) -> Option<Decision> {
    let found = world.jobs.get(job)?;
    found.state.needs_operator().then_some(Decision::Resolve { job, resolution })
}
