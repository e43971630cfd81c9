//! Chooses which attempts make room for work that cannot wait.

use std::cmp::Reverse;

use super::Booking;
use super::Rooms;
use super::Scratch;
use super::room::Room;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Cause;
use crate::job::Decision;
use crate::job::Job;
use crate::job::State;
use crate::job::Step;
use crate::job::Total;
use crate::key;
use crate::team::Claim;
use crate::time::Time;

/// Attempts that are to leave one instance.
pub(super) struct Victims {
    /// The instance, by its place in the list of rooms.
    pub(super) at: usize,
    /// What they give up.
    pub(super) freed: Size,
    /// Which they are, and their checkpoints.
    pub(super) checkpoints: Vec<(key::Job, Decision)>,
}

/// Which attempts may be displaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// Those of teams that borrow.
    Borrowed,
    /// All that are not urgent.
    Any,
}

/// The attempts of a pool that can be checkpointed, by room. Found once in a step, when first
/// needed.
pub(super) struct Candidates {
    by_room: Vec<Vec<Candidate>>,
    /// Sizes for which no room can be made, with how far that was tried.
    failed: Vec<(Reach, Size)>,
    has_borrowed: bool,
}

#[derive(Clone, Copy)]
struct Candidate {
    job: key::Job,
    team: key::Team,
    number: u32,
    booked: Size,
    started: Time,
    /// Whether its team uses more than its quota.
    borrowed: bool,
    priority: Priority,
}

/// How much is lost by a choice of victims, worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Victims within their own team's quota.
    rightful: usize,
    /// Victims in all.
    victims: usize,
    /// Seconds that they have run.
    ran: u64,
}

impl Candidates {
    pub(super) fn of(step: &Scratch<'_>, rooms: &Rooms) -> Self {
        let by_room: Vec<_> = rooms.rooms.iter().map(|room| candidates(step, room)).collect();
        let has_borrowed = by_room.iter().flatten().any(|one| one.borrowed);
        Self { by_room, failed: Vec::new(), has_borrowed }
    }

    /// The attempts whose checkpoint makes room for a job at the least cost.
    pub(super) fn choose(
        &mut self,
        step: &Scratch<'_>,
        rooms: &Rooms,
        booking: Booking<'_>,
        reach: Reach,
    ) -> Option<Victims> {
        let size = booking.size;
        let hopeless = |(tried, failed): &(Reach, Size)| *tried == reach && failed.fits_in(size);
        if reach == Reach::Borrowed && !self.has_borrowed || self.failed.iter().any(hopeless) {
            return None;
        }
        let mut best: Option<(Cost, usize, Vec<Candidate>)> = None;
        for (at, room) in rooms.rooms.iter().enumerate() {
            if !room.takes(booking) || !size.fits_in(room.capacity) {
                continue;
            }
            let Some((cost, victims)) = self.at_room(step, (at, room), size, reach) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, at, victims));
            }
        }
        match best {
            Some((_, at, victims)) => Some(Victims::of(at, &victims)),
            None => {
                self.failed.push((reach, size));
                None
            }
        }
    }

    /// The attempts whose checkpoint makes room for a job on this very instance.
    pub(super) fn clear(
        &self,
        step: &Scratch<'_>,
        rooms: &Rooms,
        at: usize,
        size: Size,
        reach: Reach,
    ) -> Option<Victims> {
        let (_, victims) = self.at_room(step, (at, &rooms.rooms[at]), size, reach)?;
        Some(Victims::of(at, &victims))
    }

    /// Less urgent attempts of a job's own team that have to go, so that with `wanted` more it stays
    /// within its quota; those that are about to leave are counted as gone.
    pub(super) fn own(
        &self,
        step: &Scratch<'_>,
        rooms: &Rooms,
        job: &Job,
        wanted: Size,
    ) -> Vec<(key::Job, Decision)> {
        let Some(team) = step.world.teams.get(job.team) else { return Vec::new() };
        let leaving = leaving(step, rooms, job.team);
        let mut used = step.used(job.team).whole().less(leaving).plus(wanted.into());
        let own = self.by_room.iter().flatten().filter(|one| one.team == job.team);
        let mut own: Vec<_> =
            own.filter(|one| one.priority > job.spec.priority && one.stays(step)).collect();
        own.sort_by_key(|one| (Reverse(one.priority), Reverse(one.started)));
        let mut chosen = Vec::new();
        for candidate in own {
            if used.fits_in(team.spec.quota.into()) {
                break;
            }
            used.remove(candidate.booked);
            chosen.push(candidate.checkpoint());
        }
        if used.fits_in(team.spec.quota.into()) { chosen } else { Vec::new() }
    }

    fn at_room(
        &self,
        step: &Scratch<'_>,
        (at, room): (usize, &Room),
        size: Size,
        reach: Reach,
    ) -> Option<(Cost, Vec<Candidate>)> {
        let mut left = room.free.plus(room.soon);
        let mut chosen = Vec::new();
        for &candidate in &self.by_room[at] {
            if size.fits_in(left) {
                break;
            }
            let within_reach = reach == Reach::Any || candidate.borrowed;
            let helps = !size.less(left).least(candidate.booked).is_nothing();
            if within_reach && helps && candidate.stays(step) {
                left = left.plus(candidate.booked);
                chosen.push(candidate);
            }
        }
        if !size.fits_in(left) {
            return None;
        }
        spare_needless(&mut chosen, left, size);
        Some((cost(step, &chosen), chosen))
    }
}

impl Victims {
    fn of(at: usize, victims: &[Candidate]) -> Self {
        let freed = victims.iter().fold(Size::default(), |sum, victim| sum.plus(victim.booked));
        Self { at, freed, checkpoints: victims.iter().map(Candidate::checkpoint).collect() }
    }
}

impl Candidate {
    fn of(step: &Scratch<'_>, key: key::Job) -> Option<Self> {
        let job = step.world.jobs.get(key)?;
        let State::Running(attempt) = &job.state else { return None };
        let goes_on = matches!(attempt.step, Step::Run | Step::Throttle(_));
        if !goes_on || !job.spec.preemptible || job.spec.priority == Priority::Urgent {
            return None;
        }
        let team = step.world.teams.get(job.team)?;
        Some(Self {
            job: key,
            team: job.team,
            number: attempt.number,
            booked: attempt.booked,
            started: attempt.started,
            borrowed: Claim::is_over(&team.spec, &step.used(job.team), job.spec.priority),
            priority: job.spec.priority,
        })
    }

    /// Whether this step has not displaced it yet.
    fn stays(&self, step: &Scratch<'_>) -> bool {
        !step.displaced.contains(&self.job)
    }

    fn checkpoint(&self) -> (key::Job, Decision) {
        let (job, number, cause) = (self.job, self.number, Cause::Preemption);
        (job, Decision::Checkpoint { job, number, cause })
    }
}

/// The attempts of a room that can be checkpointed, those first that are displaced first: borrowed,
/// less urgent, younger.
fn candidates(step: &Scratch<'_>, room: &Room) -> Vec<Candidate> {
    if !room.has_soft() {
        return Vec::new();
    }
    let placed = step.index.placed(room.instance);
    let mut found: Vec<_> = placed.filter_map(|key| Candidate::of(step, key)).collect();
    found.sort_by_key(|one| (!one.borrowed, Reverse(one.priority), Reverse(one.started)));
    found
}

/// Lets those go on without whom the job fits all the same.
fn spare_needless(chosen: &mut Vec<Candidate>, mut left: Size, size: Size) {
    chosen.retain(|candidate| {
        let without = left.less(candidate.booked);
        let needless = size.fits_in(without);
        if needless {
            left = without;
        }
        !needless
    });
}

fn cost(step: &Scratch<'_>, chosen: &[Candidate]) -> Cost {
    Cost {
        rightful: chosen.iter().filter(|one| !one.borrowed).count(),
        victims: chosen.len(),
        ran: chosen.iter().map(|one| step.now.since(one.started).as_secs()).sum(),
    }
}

/// What a team's attempts in these rooms are about to give up.
fn leaving(step: &Scratch<'_>, rooms: &Rooms, team: key::Team) -> Total {
    let nodes = rooms.rooms.iter().filter_map(|room| step.index.node(room.instance));
    let mut sum = Total::default();
    for (job, (_, size)) in nodes.flat_map(|node| &node.leaving) {
        if step.world.jobs.get(*job).is_some_and(|job| job.team == team) {
            sum.add(*size);
        }
    }
    sum
}
