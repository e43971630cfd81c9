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
use crate::job::State;
use crate::job::Step;
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

struct Candidate {
    job: key::Job,
    number: u32,
    booked: Size,
    started: Time,
    /// Whether its team uses more than its quota.
    borrowed: bool,
    priority: Priority,
}

/// The attempts whose checkpoint makes room for a job at the least cost.
///
/// Urgent work may displace any work that is not urgent; other work only what is borrowed.
pub(super) fn choose(
    step: &Scratch<'_>,
    rooms: &Rooms,
    booking: Booking<'_>,
    urgent: bool,
) -> Option<Victims> {
    let mut best: Option<(Cost, usize, Vec<Candidate>)> = None;
    for (at, room) in rooms.rooms.iter().enumerate() {
        if !room.takes(booking) || !booking.size.fits_in(room.capacity) {
            continue;
        }
        let Some((cost, victims)) = at_room(step, room, booking.size, urgent) else { continue };
        if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
            best = Some((cost, at, victims));
        }
    }
    let (_, at, victims) = best?;
    let freed = victims.iter().fold(Size::default(), |sum, victim| sum.plus(victim.booked));
    Some(Victims { at, freed, checkpoints: victims.iter().map(Candidate::checkpoint).collect() })
}

fn at_room(
    step: &Scratch<'_>,
    room: &Room,
    size: Size,
    urgent: bool,
) -> Option<(Cost, Vec<Candidate>)> {
    let mut candidates = candidates(step, room, urgent);
    candidates.sort_by_key(|one| (!one.borrowed, Reverse(one.priority), Reverse(one.started)));
    let mut left = room.free.plus(room.soon);
    let mut chosen = Vec::new();
    for candidate in candidates {
        if size.fits_in(left) {
            break;
        }
        if size.less(left).least(candidate.booked).is_nothing() {
            continue;
        }
        left = left.plus(candidate.booked);
        chosen.push(candidate);
    }
    if !size.fits_in(left) {
        return None;
    }
    spare_needless(&mut chosen, left, size);
    Some((cost(step, &chosen), chosen))
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

fn candidates(step: &Scratch<'_>, room: &Room, urgent: bool) -> Vec<Candidate> {
    let found = step.index.placed(room.instance);
    let preemptible = found.filter_map(|key| candidate(step, key));
    preemptible.filter(|one| one.borrowed || urgent).collect()
}

fn candidate(step: &Scratch<'_>, key: key::Job) -> Option<Candidate> {
    let job = step.world.jobs.get(key).filter(|_| !step.displaced.contains(&key))?;
    let State::Running(attempt) = &job.state else { return None };
    let goes_on = matches!(attempt.step, Step::Run | Step::Throttle(_));
    if !goes_on || !job.spec.preemptible || job.spec.priority == Priority::Urgent {
        return None;
    }
    let team = step.world.teams.get(job.team)?;
    Some(Candidate {
        job: key,
        number: attempt.number,
        booked: attempt.booked,
        started: attempt.started,
        borrowed: Claim::is_over(&team.spec, step.used(job.team)),
        priority: job.spec.priority,
    })
}

impl Candidate {
    fn checkpoint(&self) -> (key::Job, Decision) {
        let (job, number, cause) = (self.job, self.number, Cause::Preemption);
        (job, Decision::Checkpoint { job, number, cause })
    }
}
