//! The row of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::job::Job;
use crate::row::size::Size;
use crate::time::Time;
use crate::world::World;

/// The row of a job.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Row {
    organisation: String,
    team: String,
    spec: Spec,
    submitted: Time,
}

/// What a job is, as it was configured when it was submitted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Spec {
    pool: String,
    size: Size,
    seconds: u32,
    priority: config::Priority,
    idempotent: bool,
    preemptible: bool,
}

impl From<config::Job> for Spec {
    fn from(job: config::Job) -> Self {
        Self {
            pool: job.pool,
            size: job.size.into(),
            seconds: job.seconds,
            priority: job.priority,
            idempotent: job.idempotent,
            preemptible: job.preemptible,
        }
    }
}

impl From<Spec> for config::Job {
    fn from(spec: Spec) -> Self {
        Self {
            pool: spec.pool,
            size: spec.size.into(),
            seconds: spec.seconds,
            priority: spec.priority,
            idempotent: spec.idempotent,
            preemptible: spec.preemptible,
        }
    }
}

impl Row {
    pub(super) fn new(world: &World, value: &Job) -> Self {
        let team = world.teams.get(value.team).cloned().unwrap_or_default();
        let organisation = world.organisations.get(team.organisation);
        Self {
            organisation: organisation.map(|value| value.name.clone()).unwrap_or_default(),
            team: team.name,
            spec: value.spec.clone().into(),
            submitted: value.submitted,
        }
    }

    pub(super) fn open(self, world: &mut World, name: &str) -> Job {
        let organisation = world.organisation(&self.organisation);
        Job {
            name: name.to_owned(),
            team: world.team(organisation, &self.team),
            spec: self.spec.into(),
            submitted: self.submitted,
        }
    }
}
