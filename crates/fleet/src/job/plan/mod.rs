//! What time and room allow: attempts to start, to make room for, to take from bad workers.

mod away;
mod booking;
mod due;
mod fill;
mod line;
mod preempt;
mod room;
mod score;
mod watch;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub(super) use booking::Booking;
pub(super) use room::Rooms;
pub(super) use watch::is_suspect;

use super::Decision;
use super::Index;
use super::Total;
use super::index::Book;
use crate::key;
use crate::team::Team;
use crate::team::Usage;
use crate::time::Time;
use crate::world::World;

/// What is to be done in `pools` at `now`.
///
/// Each decision of an earlier call must have been absorbed by `world` and `index`, or dropped for
/// good. The number of decisions is bounded by [`Limits::decisions`](super::Limits::decisions); the
/// rest follow in the next step.
pub fn plan(world: &World, index: &Index, pools: &BTreeSet<key::Pool>, now: Time) -> Vec<Decision> {
    let mut step = Scratch::new(world, index, now);
    let books: Vec<_> = pools.iter().filter_map(|&pool| Some((pool, index.book(pool)?))).collect();
    for (pool, book) in &books {
        due::run(&mut step, book);
        away::run(&mut step, book);
        watch::run(&mut step, *pool, book);
    }
    for (_, book) in &books {
        fill::run(&mut step, book);
    }
    for (_, book) in &books {
        due::forget(&mut step, book);
    }
    step.decisions
}

/// What one step works on.
pub(super) struct Scratch<'a> {
    pub(super) world: &'a World,
    pub(super) index: &'a Index,
    pub(super) now: Time,
    /// What each organisation has in all.
    whole: BTreeMap<key::Organisation, Total>,
    /// What this step starts for each team.
    started: BTreeMap<key::Team, Usage>,
    /// Attempts that this step has checkpointed to make room.
    displaced: BTreeSet<key::Job>,
    /// What those give up.
    given_up: BTreeMap<key::Team, Usage>,
    /// Instances that this step puts into quarantine.
    barred: BTreeSet<key::Instance>,
    decisions: Vec<Decision>,
}

impl<'a> Scratch<'a> {
    pub(super) fn new(world: &'a World, index: &'a Index, now: Time) -> Self {
        let (whole, started) = (whole(world, index), BTreeMap::new());
        Self {
            world,
            index,
            now,
            whole,
            started,
            displaced: BTreeSet::new(),
            given_up: BTreeMap::new(),
            barred: BTreeSet::new(),
            decisions: Vec::new(),
        }
    }

    /// What a team uses, with what this step starts.
    pub(super) fn used(&self, team: key::Team) -> Usage {
        let used = self.index.used(team);
        match self.started.get(&team) {
            Some(started) => used.plus(started),
            None => used,
        }
    }

    /// What is booked for those of a team's attempts that are not about to leave.
    fn staying(&self, team: key::Team) -> Usage {
        let staying = self.index.staying(team);
        match self.given_up.get(&team) {
            Some(given_up) => staying.minus(given_up),
            None => staying,
        }
    }

    /// What the team's organisation has in all.
    pub(super) fn whole(&self, team: &Team) -> Total {
        self.whole.get(&team.organisation).copied().unwrap_or_default()
    }

    fn is_full(&self) -> bool {
        self.decisions.len() >= self.world.limits.decisions as usize
    }
}

/// What the serving instances of each organisation have in all.
fn whole(world: &World, index: &Index) -> BTreeMap<key::Organisation, Total> {
    let mut whole: BTreeMap<key::Organisation, Total> = BTreeMap::new();
    for (pool, total) in index.capacities() {
        let Some(pool) = world.pools.get(pool) else { continue };
        let sum = whole.entry(pool.organisation).or_default();
        *sum = sum.plus(total);
    }
    whole
}

/// The job and its book, where both are known.
fn job_of<'a>(world: &'a World, book: &'a Book, job: key::Job) -> Option<Booking<'a>> {
    let job = world.jobs.get(job)?;
    Some(Booking::of(world, book, job))
}
