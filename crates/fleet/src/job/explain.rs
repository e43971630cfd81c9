//! Explains why a job does not run, and what would let it run.

use derive_more::Display;

use super::Action;
use super::Cause;
use super::End;
use super::Fault;
use super::Index;
use super::Job;
use super::Outcome;
use super::Rejection;
use super::State;
use super::Total;
use super::plan::Bins;
use super::plan::Booking;
use super::plan::Planner;
use super::submit;
use crate::config::Size;
use crate::key;
use crate::team::Admission;
use crate::time::Time;
use crate::world::World;

/// Why a job is in its present state.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Name of its state; see [`State::name`].
    pub state: &'static str,
    /// Reasons why the job does not run, or actions on its attempt; the most serious first.
    pub obstacles: Vec<Obstacle>,
}

/// A reason why a job does not run, or an action on its attempt.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Obstacle {
    /// It can never run with the present instances and quotas.
    #[display("it cannot run: {_0}")]
    Never(Rejection),
    /// Its team is at its quota and does not borrow.
    #[display("its team uses {used} and with {asked} more would be over its quota of {quota}")]
    Quota {
        /// Resources that the job needs.
        asked: Size,
        /// Resources that the team uses.
        used: Total,
        /// The team's quota.
        quota: Size,
    },
    /// It waits for the backoff before its next attempt.
    #[display("attempt {number} {outcome}; the next is made in {seconds} s")]
    Backoff {
        /// Number of the last attempt.
        number: u32,
        /// How that attempt ended.
        outcome: Outcome,
        /// Seconds until the next attempt.
        seconds: u64,
    },
    /// No instance of its pool accepts work at present.
    #[display("no instance of its pool accepts work at present")]
    NoneServing,
    /// No instance has enough free capacity for it.
    #[display("it needs {asked} on one instance; the nearest has {free} free")]
    NoRoom {
        /// Resources that the job needs.
        asked: Size,
        /// Free resources of the instance that comes closest.
        free: Size,
    },
    /// Attempts are being checkpointed to free capacity for it.
    #[display("attempts are being checkpointed to free capacity for it")]
    MakingRoom,
    /// It would borrow the headroom of the pool, which it could not give back since it cannot be
    /// checkpointed.
    #[display("it would borrow the last {percent}% of its pool and cannot be checkpointed")]
    Headroom {
        /// Headroom of the pool, percent of its capacity.
        percent: u32,
    },
    /// It fits and is started in the next step.
    #[display("it will be started in the next step")]
    Next,
    /// It runs.
    #[display("attempt {number} runs on {instance}")]
    Runs {
        /// Number of the attempt.
        number: u32,
        /// Name of the instance.
        instance: String,
    },
    /// It exceeded its booking and is throttled.
    #[display("it exceeded its booking and is throttled to {to}")]
    Throttled {
        /// Resources that it may use.
        to: Size,
    },
    /// Its attempt is being checkpointed or stopped.
    #[display("it is being checkpointed or stopped on its instance: {cause}")]
    Leaves {
        /// The reason.
        cause: Cause,
    },
    /// Its attempt is lost and may run until its lease has expired.
    #[display("the worker on {instance} is lost; attempt {number} may run for {seconds} s more")]
    Unknown {
        /// Number of the attempt.
        number: u32,
        /// Name of the instance.
        instance: String,
        /// Seconds until the lease has expired.
        seconds: u64,
    },
    /// It may not run twice and may have run on a lost worker.
    #[display("attempt {number} may have run on {instance}, and the job may not run twice")]
    Unresolved {
        /// Number of the attempt.
        number: u32,
        /// Name of the instance.
        instance: String,
    },
    /// It was set aside.
    #[display("it was set aside: {_0}")]
    Parked(Fault),
    /// It has ended.
    #[display("it has ended: {_0}")]
    Over(End),
}

impl Obstacle {
    /// What an operator can do about it, if there is anything.
    pub const fn remedy(&self) -> Option<&'static str> {
        match self {
            Self::Never(_) => Some("cancel it, or give its pool or team what it needs"),
            Self::Quota { .. } => Some("wait, raise the team's quota, or let the team borrow"),
            Self::NoneServing => Some("find out why the pool's instances are not serving"),
            Self::NoRoom { .. } => Some("wait, make it urgent within its quota, or add instances"),
            Self::Headroom { .. } => Some("wait, make it preemptible, or raise the team's quota"),
            Self::Unknown { .. } => Some("wait: the worker's answer or the lease's end settles it"),
            Self::Unresolved { .. } => Some("find out whether it ran; then resolve or cancel it"),
            Self::Parked(_) => Some("fix the problem; then resolve or cancel it"),
            Self::Backoff { .. }
            | Self::MakingRoom
            | Self::Next
            | Self::Runs { .. }
            | Self::Throttled { .. }
            | Self::Leaves { .. }
            | Self::Over(_) => None,
        }
    }
}

/// Why a job is in its present state; `None` for an unknown job.
pub fn explain(world: &World, index: &Index, job: key::Job, now: Time) -> Option<Explanation> {
    let found = world.jobs.get(job)?;
    let obstacles = match &found.state {
        State::Queued => queued_obstacles(world, index, found, now),
        State::Running(attempt) => {
            let instance = instance_name(world, attempt.instance);
            let mut obstacles = vec![Obstacle::Runs { number: attempt.number, instance }];
            obstacles.extend(action_obstacle(attempt.action));
            obstacles
        }
        State::Unknown(attempt, loss) => {
            let instance = instance_name(world, attempt.instance);
            let seconds = loss.until.since(now).as_secs();
            vec![Obstacle::Unknown { number: attempt.number, instance, seconds }]
        }
        State::Unresolved(attempt) => {
            let instance = instance_name(world, attempt.instance);
            vec![Obstacle::Unresolved { number: attempt.number, instance }]
        }
        State::Parked(fault) => vec![Obstacle::Parked(*fault)],
        State::Done(end) => vec![Obstacle::Over(*end)],
    };
    Some(Explanation { state: found.state.name(), obstacles })
}

fn action_obstacle(action: Action) -> Option<Obstacle> {
    match action {
        Action::Run => None,
        Action::Throttle(to) => Some(Obstacle::Throttled { to }),
        Action::Checkpoint(cause) | Action::Stop(cause) => Some(Obstacle::Leaves { cause }),
    }
}

fn queued_obstacles(world: &World, index: &Index, job: &Job, now: Time) -> Vec<Obstacle> {
    let mut obstacles = Vec::new();
    obstacles.extend(submit::check_capacity(world, job.pool, job.need).err().map(Obstacle::Never));
    let team = world.teams.get(job.team);
    let quota = team.and_then(|team| submit::check_quota(team, job.need).err());
    obstacles.extend(quota.map(Obstacle::Never));
    if !obstacles.is_empty() {
        return obstacles;
    }
    obstacles.extend(backoff_obstacle(job, now));
    obstacles.extend(placement_obstacles(&Planner::new(world, index, now), job));
    if obstacles.is_empty() {
        obstacles.push(Obstacle::Next);
    }
    obstacles
}

fn backoff_obstacle(job: &Job, now: Time) -> Option<Obstacle> {
    let last = job.history.last()?;
    let (number, outcome) = (last.number, last.outcome);
    let seconds = job.retry_at.since(now).as_secs();
    (job.retry_at > now).then_some(Obstacle::Backoff { number, outcome, seconds })
}

fn placement_obstacles(planner: &Planner<'_>, job: &Job) -> Vec<Obstacle> {
    let mut obstacles = Vec::new();
    let (Some(team), Some(pool_index)) =
        (planner.world.teams.get(job.team), planner.index.pool(job.pool))
    else {
        return obstacles;
    };
    let booking = Booking::of(planner.world, pool_index, job);
    let used = planner.used(job.team);
    let admission = Admission::of(&team.spec, &used, (booking.size, job.spec.priority));
    if admission.is_none() {
        let (asked, used, quota) = (booking.size, used.total(), team.spec.quota);
        obstacles.push(Obstacle::Quota { asked, used, quota });
    }
    let bins = Bins::of(planner, pool_index);
    obstacles.extend(capacity_obstacle(&bins, booking));
    let percent = planner.world.limits.headroom_percent;
    let is_unreclaimable = admission == Some(Admission::Borrowed) && !job.spec.preemptible;
    if is_unreclaimable && !bins.keeps_headroom(booking.size, percent) {
        obstacles.push(Obstacle::Headroom { percent });
    }
    obstacles
}

fn capacity_obstacle(bins: &Bins, booking: Booking<'_>) -> Option<Obstacle> {
    let asked = booking.size;
    if bins.bins.is_empty() {
        return Some(Obstacle::NoneServing);
    }
    if bins.bins.iter().any(|bin| asked.fits_in(bin.free)) {
        return None;
    }
    if bins.bins.iter().any(|bin| asked.fits_in(bin.free.plus(bin.releasing))) {
        return Some(Obstacle::MakingRoom);
    }
    let missing = |free: Size| Total::from(asked.minus(free)).dominant_share(asked.into());
    let free = bins.bins.iter().map(|bin| bin.free).min_by_key(|free| missing(*free))?;
    Some(Obstacle::NoRoom { asked, free })
}

fn instance_name(world: &World, instance: key::Instance) -> String {
    world.instances.get(instance).map(|instance| instance.name.clone()).unwrap_or_default()
}
