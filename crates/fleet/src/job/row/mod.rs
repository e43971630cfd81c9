//! Jobs and the trust in workers as rows of the table service.
//!
//! Rows hold names instead of keys, and ignore fields of newer versions.

mod attempt;
mod name;
mod spec;
mod worker;

use serde::Deserialize;
use serde::Serialize;

use attempt::EndedRow;
use attempt::StateRow;
use spec::SpecRow;
pub(crate) use worker::WorkerRow;

use super::Job;
use crate::row::size::Size;
use crate::time::Time;
use crate::world::World;

/// A job with names instead of keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Row {
    /// Name of the organisation of its team and pool.
    pub organisation: String,
    /// Name of its team.
    pub team: String,
    /// Name of its pool.
    pub pool: String,
    /// Its kind.
    pub kind: String,
    /// Its specification.
    pub spec: SpecRow,
    /// Input for the task, as submitted.
    pub input: String,
    /// When it was submitted.
    pub submitted: Time,
    /// Its current state.
    pub state: StateRow,
    /// When it entered that state.
    pub since: Time,
    /// Number of its latest attempt.
    pub number: u32,
    /// Minimum booking of its next attempt.
    pub need: Size,
    /// Earliest time of its next attempt.
    pub retry_at: Time,
    /// Location of its last checkpoint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// Its latest ended attempts, oldest first.
    pub history: Vec<EndedRow>,
    /// Whether its cancellation was requested.
    pub cancelled: bool,
}

impl Row {
    /// The row for a job.
    pub(crate) fn new(world: &World, job: &Job) -> Self {
        let team = world.teams.get(job.team);
        let organisation = team.and_then(|team| world.organisations.get(team.organisation));
        let pool = world.pools.get(job.pool);
        Self {
            organisation: organisation.map(|value| value.name.clone()).unwrap_or_default(),
            team: team.map(|value| value.name.clone()).unwrap_or_default(),
            pool: pool.map(|value| value.name.clone()).unwrap_or_default(),
            kind: job.kind.to_string(),
            spec: SpecRow::from(&job.spec),
            input: job.input.clone(),
            submitted: job.submitted,
            state: StateRow::new(world, &job.state),
            since: job.since,
            number: job.last_attempt,
            need: job.need.into(),
            retry_at: job.retry_at,
            checkpoint: job.checkpoint.clone(),
            history: job.history.iter().map(|ended| EndedRow::new(world, ended)).collect(),
            cancelled: job.cancelled,
        }
    }

    /// The job of a row. Adds names to `world` that are not known yet.
    pub(crate) fn open(self, world: &mut World, name: &str) -> Job {
        let organisation = world.organisation(&self.organisation);
        let team = world.team(organisation, &self.team);
        let pool = world.pool(organisation, &self.pool);
        let state = self.state.open(world, pool);
        let history = self.history.into_iter().map(|ended| ended.open(world, pool)).collect();
        let mut spec = self.spec.open();
        spec.pool = self.pool;
        Job {
            name: name.to_owned(),
            team,
            pool,
            kind: self.kind.into(),
            spec,
            input: self.input,
            submitted: self.submitted,
            state,
            since: self.since,
            last_attempt: self.number,
            need: self.need.into(),
            retry_at: self.retry_at,
            checkpoint: self.checkpoint,
            history,
            cancelled: self.cancelled,
        }
    }
}
