//! Operators' acts on jobs.

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

impl<P: Environment> Engine<P> {
    /// Takes a job in. The same job again is the same answer.
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

    /// Cancels a job.
    pub async fn cancel(&self, stamp: &Stamp, name: &str, now: Time) -> Result<Job, Error> {
        let what = format!("cancel job {name}");
        let decide = |state: &State| {
            let key = state.job_key(name)?;
            let decision = job::cancel(&state.world, key);
            Ok(decision.ok_or_else(|| Error::Refused(format!("job {name} is over")))?.into())
        };
        self.act(stamp, what, decide, now).await?;
        self.job(name)
    }

    /// Settles a job that waits for a person.
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
            let reason = || Error::Refused(format!("job {name} waits for no person"));
            Ok(decision.ok_or_else(reason)?.into())
        };
        self.act(stamp, what, decide, now).await?;
        self.job(name)
    }

    /// Why a job stands as it does.
    pub fn explain(&self, name: &str, now: Time) -> Result<Explanation, Error> {
        let state = self.state();
        let key = state.job_key(name)?;
        let row_now = self.row_time(now);
        let found = job::explain(&state.world, &state.index, key, row_now);
        let found = found.ok_or_else(|| Error::NotFound(format!("job {name}")))?;
        let remedies = found.obstacles.iter().filter_map(job::Obstacle::remedy);
        Ok(Explanation {
            job: state.job(key),
            reasons: found.obstacles.iter().map(ToString::to_string).collect(),
            remedies: remedies.map(str::to_owned).collect(),
        })
    }

    /// All jobs of an organisation, or of all if it is empty.
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
    fn job_key(&self, name: &str) -> Result<key::Job, Error> {
        let key = self.world.names.jobs.get(name).copied();
        key.ok_or_else(|| Error::NotFound(format!("job {name}")))
    }

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
