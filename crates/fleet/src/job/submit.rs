//! Admits jobs, and rejects those that can never run.

use derive_more::Display;

use super::Decision;
use super::Job;
use super::State;
use crate::config;
use crate::config::Config;
use crate::config::Priority;
use crate::config::Size;
use crate::instance;
use crate::key;
use crate::team::Admission;
use crate::team::Team;
use crate::team::Usage;
use crate::time::Time;
use crate::world::World;

/// Maximum length of a job's name, bytes.
const MAX_NAME: usize = 128;

/// Maximum length of a job's input, bytes.
const MAX_INPUT: usize = 16 << 10;

/// A request to run a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Submit {
    /// Name of the job, unique in the site. Submitting the same name and content again is a no-op.
    pub name: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the team that it counts against.
    pub team: String,
    /// Kind of job, as configured.
    pub kind: String,
    /// Specification of this kind of job, from the present configuration.
    pub spec: config::Job,
    /// Input for the task.
    pub input: String,
}

/// Why a job is rejected: it could never run, or its name is taken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Rejection {
    /// No such organisation is configured.
    #[display("no organisation named {_0}")]
    NoSuchOrganisation(String),
    /// No such team is configured.
    #[display("no team named {_0}")]
    NoSuchTeam(String),
    /// No such kind of job is configured.
    #[display("no kind of job named {_0}")]
    NoSuchKind(String),
    /// No such pool is configured.
    #[display("no pool named {_0}")]
    NoSuchPool(String),
    /// The name is empty, too long, or has characters other than letters, digits, `-`, `_`, `.`.
    #[display("a job's name has 1 to {MAX_NAME} letters, digits, '-', '_' or '.'")]
    BadName,
    /// The input is too long.
    #[display("the input has {_0} bytes and may have {MAX_INPUT}")]
    InputTooLong(usize),
    /// The same job was submitted before; nothing needs to be done.
    #[display("this job was submitted before")]
    Known,
    /// Another job has this name.
    #[display("another job has this name")]
    NameTaken,
    /// The pool has no instances.
    #[display("pool {_0} has no instances")]
    NoInstances(String),
    /// No instance of the pool has as many accelerators.
    #[display("it needs {asked} accelerators and no instance of the pool has more than {max}")]
    Accelerators {
        /// Accelerators that the job needs.
        asked: u32,
        /// The largest number of any instance of the pool.
        max: u32,
    },
    /// It is larger than any instance of the pool.
    #[display("it needs {asked} and no instance of the pool has that; the nearest has {nearest}")]
    TooBig {
        /// Resources that the job needs.
        asked: Size,
        /// Capacity of the instance that comes closest.
        nearest: Size,
    },
    /// The team's quota is zero and it may not borrow.
    #[display("the quota of team {_0} is zero and it may not borrow")]
    NoQuota(String),
    /// It is larger than the team's quota, and the team may not borrow.
    #[display("it needs {asked}, the team's whole quota is {quota}, and it may not borrow")]
    OverQuota {
        /// Resources that the job needs.
        asked: Size,
        /// The team's quota.
        quota: Size,
    },
}

impl Submit {
    /// A request for a job of a configured kind, with an empty input.
    pub fn of_kind(
        config: &Config,
        organisation: &str,
        team: &str,
        kind: &str,
        name: &str,
    ) -> Result<Self, Rejection> {
        let found = config.organisations.get(organisation);
        let found = found.ok_or_else(|| Rejection::NoSuchOrganisation(organisation.to_owned()))?;
        let spec = found.jobs.get(kind).ok_or_else(|| Rejection::NoSuchKind(kind.to_owned()))?;
        Ok(Self {
            name: name.to_owned(),
            organisation: organisation.to_owned(),
            team: team.to_owned(),
            kind: kind.to_owned(),
            spec: spec.clone(),
            input: String::new(),
        })
    }
}

/// Admits a job, or returns why it is rejected. Nothing is stored for a rejected job.
pub fn admit(world: &World, request: &Submit, now: Time) -> Result<Decision, Rejection> {
    check_form(request)?;
    let organisation = *world
        .names
        .organisations
        .get(&request.organisation)
        .ok_or_else(|| Rejection::NoSuchOrganisation(request.organisation.clone()))?;
    let pool = *world
        .names
        .pools
        .get(&(organisation, request.spec.pool.clone()))
        .ok_or_else(|| Rejection::NoSuchPool(request.spec.pool.clone()))?;
    let team = *world
        .names
        .teams
        .get(&(organisation, request.team.clone()))
        .ok_or_else(|| Rejection::NoSuchTeam(request.team.clone()))?;
    let job = new_job(request, team, pool, now);
    check_name(world, &job)?;
    check_capacity(world, pool, job.spec.size)?;
    if let Some(team) = world.teams.get(team) {
        check_quota(team, job.spec.size)?;
    }
    Ok(Decision::Submit(Box::new(job)))
}

/// Checks that some instance of the pool, if it were idle, could run a job of this size.
pub(super) fn check_capacity(world: &World, pool: key::Pool, asked: Size) -> Result<(), Rejection> {
    let mut nearest: Option<Size> = None;
    let mut max_accelerators = 0;
    for (_, member) in world.members(pool) {
        if member.state == instance::State::Gone {
            continue;
        }
        if asked.fits_in(member.capacity) {
            return Ok(());
        }
        max_accelerators = max_accelerators.max(member.capacity.accelerators);
        let shortfall = |size: Size| shortfall(asked, size);
        let nearer = nearest.is_none_or(|nearest| shortfall(member.capacity) < shortfall(nearest));
        nearest = if nearer { Some(member.capacity) } else { nearest };
    }
    match nearest {
        None => Err(Rejection::NoInstances(pool_name(world, pool))),
        Some(_) if asked.accelerators > max_accelerators => {
            Err(Rejection::Accelerators { asked: asked.accelerators, max: max_accelerators })
        }
        Some(nearest) => Err(Rejection::TooBig { asked, nearest }),
    }
}

/// Checks that an otherwise idle team may run a job of this size.
pub(super) fn check_quota(team: &Team, asked: Size) -> Result<(), Rejection> {
    if Admission::of(&team.spec, &Usage::default(), (asked, Priority::Urgent)).is_some() {
        return Ok(());
    }
    if team.spec.quota.is_zero() {
        return Err(Rejection::NoQuota(team.name.clone()));
    }
    Err(Rejection::OverQuota { asked, quota: team.spec.quota })
}

fn check_form(request: &Submit) -> Result<(), Rejection> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let length = request.name.len();
    if length == 0 || length > MAX_NAME || !request.name.chars().all(plain) {
        return Err(Rejection::BadName);
    }
    if request.input.len() > MAX_INPUT {
        return Err(Rejection::InputTooLong(request.input.len()));
    }
    Ok(())
}

fn check_name(world: &World, job: &Job) -> Result<(), Rejection> {
    let known = world.names.jobs.get(&job.name).and_then(|&key| world.jobs.get(key));
    let Some(known) = known else { return Ok(()) };
    let same = known.team == job.team
        && known.pool == job.pool
        && known.kind == job.kind
        && known.spec == job.spec
        && known.input == job.input;
    Err(if same { Rejection::Known } else { Rejection::NameTaken })
}

fn new_job(request: &Submit, team: key::Team, pool: key::Pool, now: Time) -> Job {
    Job {
        name: request.name.clone(),
        team,
        pool,
        kind: request.kind.as_str().into(),
        spec: request.spec.clone(),
        input: request.input.clone(),
        submitted: now,
        state: State::Queued,
        since: now,
        last_attempt: 0,
        need: request.spec.size,
        retry_at: now,
        checkpoint: None,
        history: Vec::new(),
        cancelled: false,
    }
}

fn shortfall(asked: Size, available: Size) -> u64 {
    super::Total::from(asked.minus(available)).dominant_share(asked.into())
}

fn pool_name(world: &World, pool: key::Pool) -> String {
    world.pools.get(pool).map(|pool| pool.name.clone()).unwrap_or_default()
}
