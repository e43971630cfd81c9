//! Why a job does not run, and what would let it.

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
use super::plan::Booking;
use super::plan::Rooms;
use super::plan::Scratch;
use super::submit;
use crate::config::Size;
use crate::key;
use crate::team::Admission;
use crate::time::Time;
use crate::world::World;

/// Why a job stands as it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// How it stands, in a word.
    pub state: &'static str,
    /// What stands in its way, or is being done to it, the gravest first.
    pub obstacles: Vec<Obstacle>,
}

/// One thing that stands in a job's way, or is being done to it.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Obstacle {
    /// It can never run as things are.
    #[display("it cannot run: {_0}")]
    Never(Rejection),
    /// Its team may use no more, and does not borrow.
    #[display("its team uses {used} and with {asked} more would be over its quota of {quota}")]
    Quota {
        /// What the job needs.
        asked: Size,
        /// What the team uses.
        used: Total,
        /// What it may use.
        quota: Size,
    },
    /// It waits for its retry.
    #[display("attempt {number} {outcome}; the next is made in {seconds} s")]
    Backoff {
        /// Number of the last attempt.
        number: u32,
        /// How that ended.
        outcome: Outcome,
        /// Seconds until the next.
        seconds: u64,
    },
    /// No instance of its pool takes work at present.
    #[display("no instance of its pool takes work at present")]
    NoneServing,
    /// It fits on no instance beside what runs there.
    #[display("it needs {asked} on one instance; the nearest has {free} free")]
    NoRoom {
        /// What the job needs.
        asked: Size,
        /// What is free where it lacks least.
        free: Size,
    },
    /// Attempts are being checkpointed to make room.
    #[display("room is being made for it by checkpoints")]
    MakingRoom,
    /// It would borrow the last room of the pool, and could not be made to give it back.
    #[display("it would borrow the last {percent}% of its pool and cannot be checkpointed")]
    Headroom {
        /// Hundredths of the pool that are left free.
        percent: u32,
    },
    /// It has room and is started in the next step.
    #[display("it is next in line")]
    Next,
    /// It runs.
    #[display("attempt {number} runs on {instance}")]
    Runs {
        /// Number of the attempt.
        number: u32,
        /// Name of the instance.
        instance: String,
    },
    /// It is held to what is booked for it.
    #[display("it used more than was booked and is held to {to}")]
    Throttled {
        /// What it is held to.
        to: Size,
    },
    /// It is about to leave its instance.
    #[display("it is being taken off its instance: {cause}")]
    Leaves {
        /// Why.
        cause: Cause,
    },
    /// Its worker is lost and it may run there until the lease has lapsed.
    #[display("the worker on {instance} is lost; attempt {number} may run for {seconds} s more")]
    Unknown {
        /// Number of the attempt.
        number: u32,
        /// Name of the instance.
        instance: String,
        /// Seconds until the lease has lapsed.
        seconds: u64,
    },
    /// It may have run on a lost worker, and may not run twice.
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
    /// It is over.
    #[display("it is over: {_0}")]
    Over(End),
}

impl Obstacle {
    /// What an operator can do about it, if anything.
    pub const fn remedy(&self) -> Option<&'static str> {
        match self {
            Self::Never(_) => Some("cancel it, or give its pool or team what it needs"),
            Self::Quota { .. } => Some("wait, raise the team's quota, or let the team borrow"),
            Self::NoneServing => Some("see why the pool's instances are out"),
            Self::NoRoom { .. } => Some("wait, make it urgent within its quota, or add instances"),
            Self::Headroom { .. } => Some("wait, make it preemptible, or raise the team's quota"),
            Self::Unknown { .. } => Some("wait: the worker's answer or the lease's end settles it"),
            Self::Unresolved { .. } => Some("find out whether it ran; then resolve or cancel it"),
            Self::Parked(_) => Some("mend what is wrong; then resolve or cancel it"),
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

/// Why a job stands as it does; `None` where it is not known.
pub fn explain(world: &World, index: &Index, job: key::Job, now: Time) -> Option<Explanation> {
    let found = world.jobs.get(job)?;
    let obstacles = match &found.state {
        State::Queued => queued(world, index, found, now),
        State::Running(attempt) => {
            let instance = name(world, attempt.instance);
            let mut obstacles = vec![Obstacle::Runs { number: attempt.number, instance }];
            obstacles.extend(step(attempt.action));
            obstacles
        }
        State::Unknown(attempt, loss) => {
            let instance = name(world, attempt.instance);
            let seconds = loss.until.since(now).as_secs();
            vec![Obstacle::Unknown { number: attempt.number, instance, seconds }]
        }
        State::Unresolved(attempt) => {
            let instance = name(world, attempt.instance);
            vec![Obstacle::Unresolved { number: attempt.number, instance }]
        }
        State::Parked(fault) => vec![Obstacle::Parked(*fault)],
        State::Done(end) => vec![Obstacle::Over(*end)],
    };
    Some(Explanation { state: found.state.name(), obstacles })
}

fn step(step: Action) -> Option<Obstacle> {
    match step {
        Action::Run => None,
        Action::Throttle(to) => Some(Obstacle::Throttled { to }),
        Action::Checkpoint(cause) | Action::Stop(cause) => Some(Obstacle::Leaves { cause }),
    }
}

fn queued(world: &World, index: &Index, job: &Job, now: Time) -> Vec<Obstacle> {
    let mut obstacles = Vec::new();
    obstacles.extend(submit::check_room(world, job.pool, job.need).err().map(Obstacle::Never));
    let team = world.teams.get(job.team);
    let quota = team.and_then(|team| submit::check_quota(team, job.need).err());
    obstacles.extend(quota.map(Obstacle::Never));
    if !obstacles.is_empty() {
        return obstacles;
    }
    obstacles.extend(backoff(job, now));
    obstacles.extend(placement(&Scratch::new(world, index, now), job));
    if obstacles.is_empty() {
        obstacles.push(Obstacle::Next);
    }
    obstacles
}

fn backoff(job: &Job, now: Time) -> Option<Obstacle> {
    let last = job.history.last()?;
    let (number, outcome) = (last.number, last.outcome);
    let seconds = job.retry_at.since(now).as_secs();
    (job.retry_at > now).then_some(Obstacle::Backoff { number, outcome, seconds })
}

fn placement(step: &Scratch<'_>, job: &Job) -> Vec<Obstacle> {
    let mut obstacles = Vec::new();
    let (Some(team), Some(book)) = (step.world.teams.get(job.team), step.index.book(job.pool))
    else {
        return obstacles;
    };
    let booking = Booking::of(step.world, book, job);
    let used = step.used(job.team);
    let claim = Admission::of(&team.spec, &used, (booking.size, job.spec.priority));
    if claim.is_none() {
        let (asked, used, quota) = (booking.size, used.total(), team.spec.quota);
        obstacles.push(Obstacle::Quota { asked, used, quota });
    }
    let rooms = Rooms::of(step, book);
    obstacles.extend(room(&rooms, booking));
    let percent = step.world.limits.headroom_percent;
    let firm = claim == Some(Admission::Borrowed) && !job.spec.preemptible;
    if firm && !rooms.leaves(booking.size, percent) {
        obstacles.push(Obstacle::Headroom { percent });
    }
    obstacles
}

fn room(rooms: &Rooms, booking: Booking<'_>) -> Option<Obstacle> {
    let asked = booking.size;
    if rooms.rooms.is_empty() {
        return Some(Obstacle::NoneServing);
    }
    if rooms.rooms.iter().any(|room| asked.fits_in(room.free)) {
        return None;
    }
    if rooms.rooms.iter().any(|room| asked.fits_in(room.free.plus(room.soon))) {
        return Some(Obstacle::MakingRoom);
    }
    let lack = |free: Size| Total::from(asked.minus(free)).dominant_share(asked.into());
    let free = rooms.rooms.iter().map(|room| room.free).min_by_key(|free| lack(*free))?;
    Some(Obstacle::NoRoom { asked, free })
}

fn name(world: &World, instance: key::Instance) -> String {
    world.instances.get(instance).map(|instance| instance.name.clone()).unwrap_or_default()
}
