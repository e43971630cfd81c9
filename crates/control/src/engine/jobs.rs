//! Operator actions on jobs.

use fleet::job;
use fleet::job::Submit;
use fleet::key;
use fleet::time::Time;

use super::Engine;
use super::Environment;
use super::State;
use crate::act::Error;
use crate::act::Explanation;
use crate::act::Job;
use crate::act::Resolution;
use crate::act::Stamp;
use crate::act::Submission;

impl<E: Environment> Engine<E> {
    /// Submits a job. Submitting a job that exists already returns the existing one.
    pub async fn submit(
        &self,
        stamp: &Stamp,
        submission: &Submission,
        now: Time,
    ) -> Result<Job, Error> {
        let Submission { name, organisation, team, kind, input } = submission;
        let what = format!("submit job {name}");
        let row_now = self.row_time(now);
        let decide = |state: &State| {
            let config = state.adoption.config();
            let submit = Submit::of_kind(config, organisation, team, kind, name);
            let submit = submit.map_err(|reason| Error::Refused(reason.to_string()))?;
            let submit = Submit { input: input.clone(), ..submit };
            let decision = job::admit(&state.world, &submit, row_now);
            Ok(decision.map_err(|reason| refused(&reason))?.into())
        };
        match self.act(stamp, what, decide, now).await {
            Ok(_) => self.job(name),
            Err(Error::Refused(reason)) if reason == job::Rejection::Known.to_string() => {
                self.job(name)
            }
            Err(error) => Err(error),
        }
    }

    /// Cancels a job. Fails with [`Error::Refused`] if it has ended.
    pub async fn cancel(&self, stamp: &Stamp, name: &str, now: Time) -> Result<Job, Error> {
        let what = format!("cancel job {name}");
        let decide = |state: &State| {
            let key = state.job_key(name)?;
            let decision = job::cancel(&state.world, key);
            Ok(decision
                .ok_or_else(|| Error::Refused(format!("job {name} has ended already")))?
                .into())
        };
        self.act(stamp, what, decide, now).await?;
        self.job(name)
    }

    /// Resolves a job whose attempt has an unknown outcome.
    pub async fn resolve(
        &self,
        stamp: &Stamp,
        name: &str,
        resolution: Resolution,
        now: Time,
    ) -> Result<Job, Error> {
        let what = format!("resolve job {name}");
        let resolution = match resolution {
            Resolution::Ran => job::Resolution::Succeeded,
            Resolution::RunAgain => job::Resolution::Requeue,
        };
        let decide = |state: &State| {
            let key = state.job_key(name)?;
            let decision = job::resolve(&state.world, key, resolution);
            let reason = || Error::Refused(format!("job {name} has no unknown outcome to resolve"));
            Ok(decision.ok_or_else(reason)?.into())
        };
        self.act(stamp, what, decide, now).await?;
        self.job(name)
    }

    /// Explains why a job is in its present state, and what an operator can do about it.
    pub fn explain(&self, name: &str, now: Time) -> Result<Explanation, Error> {
        let state = self.state();
        let key = state.job_key(name)?;
        let row_now = self.row_time(now);
        let explained = job::explain(&state.world, &state.index, key, row_now);
        let explained = explained.ok_or_else(|| Error::NotFound(format!("job {name}")))?;
        let remedies = explained.obstacles.iter().filter_map(job::Obstacle::remedy);
        Ok(Explanation {
            job: state.job(key),
            reasons: explained.obstacles.iter().map(ToString::to_string).collect(),
            remedies: remedies.map(str::to_owned).collect(),
        })
    }

    /// The jobs of `organisation`, or all jobs if `organisation` is empty.
    pub fn jobs(&self, organisation: &str) -> Vec<Job> {
        let state = self.state();
        let jobs = state.world.jobs.iter().map(|(key, _)| state.job(key));
        jobs.filter(|job| organisation.is_empty() || job.organisation == organisation).collect()
    }

    fn job(&self, name: &str) -> Result<Job, Error> {
        let state = self.state();
        let key = state.job_key(name)?;
        Ok(state.job(key))
    }
}

impl State {
    /// The key of the job `name`, or [`Error::NotFound`].
    fn job_key(&self, name: &str) -> Result<key::Job, Error> {
        let key = self.world.names.jobs.get(name).copied();
        key.ok_or_else(|| Error::NotFound(format!("job {name}")))
    }

    /// A job as shown to operators.
    fn job(&self, key: key::Job) -> Job {
        let Some(value) = self.world.jobs.get(key) else { return Job::default() };
        let team = self.world.teams.get(value.team);
        let organisation = team.and_then(|team| self.world.organisations.get(team.organisation));
        let instance = value.state.open().map(|attempt| attempt.instance);
        let instance = instance.and_then(|instance| self.world.instances.get(instance));
        Job {
            name: value.name.clone(),
            organisation: organisation.map(|value| value.name.clone()).unwrap_or_default(),
            team: team.map(|team| team.name.clone()).unwrap_or_default(),
            size: value.need,
            state: value.state.name().to_owned(),
            instance: instance.map(|instance| instance.name.clone()).unwrap_or_default(),
            attempt: value.last_attempt,
        }
    }
}

/// The error for a submission that was rejected.
fn refused(reason: &job::Rejection) -> Error {
    use job::Rejection;
    match reason {
        Rejection::NoSuchOrganisation(_)
        | Rejection::NoSuchTeam(_)
        | Rejection::NoSuchKind(_)
        | Rejection::NoSuchPool(_) => Error::NotFound(reason.to_string()),
        reason => Error::Refused(reason.to_string()),
    }
}
