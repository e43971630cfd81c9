//! Chooses which attempts make room for work that cannot wait.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::Booking;
use super::Rooms;
use super::Scratch;
use super::room::Room;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Action;
use crate::job::Cause;
use crate::job::Decision;
use crate::job::Job;
use crate::job::State;
use crate::key;
use crate::team::Admission;
use crate::team::Rank;
use crate::team::Usage;
use crate::time::Time;

/// Attempts that are to leave one instance.
pub(super) struct Victims {
    /// The instance, by its place in the list of rooms.
    pub(super) at: usize,
    /// What they give up.
    pub(super) freed: Size,
    /// Which they are.
    pub(super) victims: Vec<Candidate>,
}

/// Which attempts may be displaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// Those of teams that borrow.
    Borrowed,
    /// Those of jobs whose turn comes after this one, so that what is displaced can't come back
    /// before the job that it made room for.
    After(Rank),
    /// All that are not urgent.
    Any,
}

/// The attempts of a pool that can be checkpointed, by room. Found once in a step, when first
/// needed.
pub(super) struct Candidates {
    by_room: Vec<Vec<Candidate>>,
    /// Sizes for which no room can be made, with how far that was tried.
    failed: Vec<(Reach, Size)>,
}

/// An attempt that can be checkpointed.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) job: key::Job,
    pub(super) team: key::Team,
    pub(super) priority: Priority,
    pub(super) booked: Size,
    number: u32,
    submitted: Time,
    started: Time,
    /// Whether it is a large job that would be passed over for long by now.
    passed_over: bool,
    /// Whether its team used more than its quota when the step began.
    borrowed: bool,
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
        let by_room: Vec<_> =
            rooms.rooms.iter().map(|room| candidates(step, rooms, room)).collect();
        Self { by_room, failed: Vec::new() }
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
        if self.failed.iter().any(hopeless) {
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
            Some((_, at, victims)) => Some(Victims::of(at, victims)),
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
        Some(Victims::of(at, victims))
    }

    /// Less urgent attempts of a job's own team that have to go, so that with `wanted` more it stays
    /// within its quota; those that are about to leave are counted as gone.
    pub(super) fn own(&self, step: &Scratch<'_>, job: &Job, wanted: Size) -> Vec<Candidate> {
        let Some(team) = step.world.teams.get(job.team) else { return Vec::new() };
        let mut used = step.staying(job.team).total().plus(wanted.into());
        let own = self.by_room.iter().flatten().filter(|one| one.team == job.team);
        let mut own: Vec<_> =
            own.filter(|one| one.priority > job.spec.priority && one.stays(step)).collect();
        own.sort_by_key(|one| (Reverse(one.priority), Reverse(one.started)));
        let mut chosen = Vec::new();
        for &candidate in own {
            if used.fits_in(team.spec.quota.into()) {
                break;
            }
            used.remove(candidate.booked);
            chosen.push(candidate);
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
        let mut given_up: BTreeMap<key::Team, Usage> = BTreeMap::new();
        for &candidate in &self.by_room[at] {
            if size.fits_in(left) {
                break;
            }
            let helps = !size.minus(left).component_min(candidate.booked).is_zero();
            if helps && candidate.stays(step) && candidate.is_within(step, reach, &given_up) {
                let given_up = given_up.entry(candidate.team).or_default();
                given_up.add(candidate.priority, candidate.booked);
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
    fn of(at: usize, victims: Vec<Candidate>) -> Self {
        let freed = victims.iter().fold(Size::default(), |sum, victim| sum.plus(victim.booked));
        Self { at, freed, victims }
    }
}

impl Candidate {
    fn of(step: &Scratch<'_>, rooms: &Rooms, key: key::Job) -> Option<Self> {
        let job = step.world.jobs.get(key)?;
        let State::Running(attempt) = &job.state else { return None };
        let goes_on = matches!(attempt.action, Action::Run | Action::Throttle(_));
        if !goes_on || !job.spec.preemptible || job.spec.priority == Priority::Urgent {
            return None;
        }
        let team = step.world.teams.get(job.team)?;
        Some(Self {
            job: key,
            team: job.team,
            number: attempt.number,
            booked: attempt.booked,
            submitted: job.submitted,
            started: attempt.started,
            passed_over: rooms.is_passed_over(step, attempt.booked, job.submitted),
            borrowed: Admission::exceeds_quota(
                &team.spec,
                &step.staying(job.team),
                job.spec.priority,
            ),
            priority: job.spec.priority,
        })
    }

    /// Whether this step has not displaced it yet.
    fn stays(&self, step: &Scratch<'_>) -> bool {
        !step.displaced.contains(&self.job)
    }

    /// Whether it may be displaced, where `given_up` is displaced beside what the step displaced.
    fn is_within(
        &self,
        step: &Scratch<'_>,
        reach: Reach,
        given_up: &BTreeMap<key::Team, Usage>,
    ) -> bool {
        match reach {
            Reach::Any => true,
            Reach::Borrowed => self.claim(step, given_up) == Admission::Borrowed,
            Reach::After(turn) => self.turn(self.claim(step, given_up)) > turn,
        }
    }

    /// By what right it would be started again, once it and what is `given_up` have left.
    fn claim(&self, step: &Scratch<'_>, given_up: &BTreeMap<key::Team, Usage>) -> Admission {
        let Some(team) = step.world.teams.get(self.team) else { return Admission::Borrowed };
        let staying = step.staying(self.team);
        let left = given_up.get(&self.team).map_or(staying, |given_up| staying.minus(given_up));
        let over = Admission::exceeds_quota(&team.spec, &left, self.priority);
        if over { Admission::Borrowed } else { Admission::Quota }
    }

    /// Its turn once it has left, whatever its team has.
    const fn turn(&self, claim: Admission) -> Rank {
        let (priority, submitted) = (self.priority, self.submitted);
        Rank {
            admission: claim,
            not_starved: !self.passed_over,
            priority,
            dominant_share: 0,
            submitted,
        }
    }

    pub(super) const fn checkpoint(&self) -> Decision {
        let (job, number, cause) = (self.job, self.number, Cause::Preemption);
        Decision::Checkpoint { job, number, cause }
    }
}

/// The attempts of a room that can be checkpointed, those first that are displaced first: borrowed,
/// less urgent, younger.
fn candidates(step: &Scratch<'_>, rooms: &Rooms, room: &Room) -> Vec<Candidate> {
    if !room.has_soft() {
        return Vec::new();
    }
    let placed = step.index.placed(room.instance);
    let mut found: Vec<_> = placed.filter_map(|key| Candidate::of(step, rooms, key)).collect();
    found.sort_by_key(|one| (!one.borrowed, Reverse(one.priority), Reverse(one.started)));
    found
}

/// Lets those go on without whom the job fits all the same.
fn spare_needless(chosen: &mut Vec<Candidate>, mut left: Size, size: Size) {
    chosen.retain(|candidate| {
        let without = left.minus(candidate.booked);
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
