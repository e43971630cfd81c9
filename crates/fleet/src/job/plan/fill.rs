//! Starts queued jobs where there is room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Booking;
use super::Rooms;
use super::Scratch;
use super::line::Line;
use super::preempt::Candidate;
use super::preempt::Candidates;
use super::preempt::Reach;
use super::preempt::Victims;
use super::room::Racks;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Decision;
use crate::job::index::Book;
use crate::key;
use crate::team::Admission;
use crate::team::Rank;

/// Instances of a pool to each one that may be kept for a job that has waited long.
const ROOMS_PER_RESERVATION: usize = 16;

/// Fills a pool with its queued jobs, in the order of their [`Turn`]s.
pub(super) fn run<'a>(step: &mut Scratch<'a>, book: &'a Book) {
    let waits = book.retries.first().is_some_and(|(at, _)| *at <= step.now);
    if book.queue.is_empty() && !waits {
        return;
    }
    let rooms = Rooms::of(step, book);
    let lines = Line::all(step, book);
    let racks = BTreeMap::new();
    let mut fill = Fill { book, rooms, lines, racks, candidates: None, reserved: 0 };
    fill.run(step);
}

struct Fill<'a> {
    book: &'a Book,
    rooms: Rooms,
    lines: Vec<Line<'a>>,
    racks: BTreeMap<Arc<str>, Racks>,
    candidates: Option<Candidates>,
    /// Instances kept for jobs that have waited long.
    reserved: usize,
}

impl<'a> Fill<'a> {
    fn run(&mut self, step: &mut Scratch<'a>) {
        let mut turns: BTreeSet<(Rank, usize)> = BTreeSet::new();
        for at in 0..self.lines.len() {
            match self.turn(step, at) {
                Some(turn) => drop(turns.insert((turn, at))),
                None => self.displace_own(step, at),
            }
        }
        while let Some((turn, at)) = turns.pop_first() {
            if step.is_full() {
                return;
            }
            // What this step started for the team may have moved the turn back.
            let Some(present) = self.turn(step, at) else { continue };
            if present > turn {
                turns.insert((present, at));
                continue;
            }
            if self.serve(step, at, turn) {
                self.lines[at].advance(step, self.book);
                turns.extend(self.turn(step, at).map(|turn| (turn, at)));
            }
        }
    }

    fn turn(&self, step: &Scratch<'_>, at: usize) -> Option<Rank> {
        self.lines[at].turn(step, &self.rooms)
    }

    /// Starts the job at the head of a line or makes room for it; `false` where the line has to
    /// wait.
    fn serve(&mut self, step: &mut Scratch<'_>, at: usize, turn: Rank) -> bool {
        let Some((key, booking)) = self.lines[at].head() else { return false };
        if !self.may_borrow(step, booking, turn) {
            return false;
        }
        self.start(step, at, key, booking)
            || (turn.admission == Admission::Quota && self.make_room(step, booking))
            || self.reserve(step, booking, turn)
    }

    /// Borrowed room is given back by a checkpoint. Work that cannot write one leaves some free.
    fn may_borrow(&self, step: &Scratch<'_>, booking: Booking<'_>, turn: Rank) -> bool {
        turn.admission == Admission::Quota
            || booking.job.spec.preemptible
            || self.rooms.leaves(booking.size, step.world.limits.headroom_percent)
    }

    fn start(
        &mut self,
        step: &mut Scratch<'_>,
        at: usize,
        key: key::Job,
        booking: Booking<'_>,
    ) -> bool {
        if !self.rooms.may_fit(booking.size) {
            return false;
        }
        let kind = Arc::clone(&self.lines[at].kind);
        let rooms = &self.rooms;
        let fresh = |kind: &Arc<str>| Racks::of(step, self.book, kind, rooms);
        let racks = self.racks.entry(kind).or_insert_with_key(fresh);
        let Some(chosen) = rooms.best(booking, racks) else {
            self.rooms.note_full(booking);
            return false;
        };
        let room = &rooms.rooms[chosen];
        racks.add(room.rack);
        step.decisions.push(Decision::Start {
            job: key,
            number: booking.job.last_attempt + 1,
            instance: room.instance,
            epoch: room.epoch,
            boot: room.boot,
            booked: booking.size,
        });
        let started = step.started.entry(booking.job.team).or_default();
        started.add(booking.job.spec.priority, booking.size);
        self.rooms.take(chosen, booking);
        true
    }

    /// Sees to it that urgent work, or work that has waited long for its team's own quota, gets
    /// room.
    fn make_room(&mut self, step: &mut Scratch<'_>, booking: Booking<'_>) -> bool {
        let urgent = booking.job.spec.priority == Priority::Urgent;
        let waited = step.now.since(booking.job.submitted);
        if !urgent && waited < step.world.limits.reclaim() {
            return false;
        }
        if self.rooms.promise(booking) {
            return true;
        }
        let reach = if urgent { Reach::Any } else { Reach::Borrowed };
        let rooms = &self.rooms;
        let candidates = self.candidates.get_or_insert_with(|| Candidates::of(step, rooms));
        let victims = candidates.choose(step, rooms, booking, reach);
        victims.is_some_and(|victims| self.displace(step, victims, booking))
    }

    /// Keeps an instance for a job that has waited long; only work that can be checkpointed is
    /// started there meanwhile, and it leaves once that makes the room.
    fn reserve(&mut self, step: &mut Scratch<'_>, booking: Booking<'_>, turn: Rank) -> bool {
        let waited = step.now.since(booking.job.submitted);
        let most = (self.rooms.rooms.len() / ROOMS_PER_RESERVATION).max(1);
        if self.reserved >= most || waited < step.world.limits.reserve() {
            return false;
        }
        let Some(at) = self.rooms.reserve(booking) else { return false };
        self.reserved += 1;
        if self.rooms.promise_at(at, booking) {
            return true;
        }
        let reach = Reach::After(Rank { dominant_share: 0, ..turn });
        let rooms = &self.rooms;
        let candidates = self.candidates.get_or_insert_with(|| Candidates::of(step, rooms));
        let victims = candidates.clear(step, rooms, at, booking.size, reach);
        victims.is_some_and(|victims| self.displace(step, victims, booking))
    }

    fn displace(&mut self, step: &mut Scratch<'_>, victims: Victims, booking: Booking<'_>) -> bool {
        self.rooms.vacate(&victims, booking.size);
        record(step, &victims.victims);
        true
    }

    /// Makes room within the team's own quota for its urgent work.
    fn displace_own(&mut self, step: &mut Scratch<'_>, at: usize) {
        let Some((_, booking)) = self.lines[at].head() else { return };
        let job = booking.job;
        let Some(team) = step.world.teams.get(job.team) else { return };
        if job.spec.priority != Priority::Urgent {
            return;
        }
        let used = step.used(job.team);
        let mut wanted = Size::default();
        for _ in 0..self.lines[at].len() {
            let more = wanted.plus(booking.size);
            if !Admission::is_blocked_by_own_work(&team.spec, &used, (more, job.spec.priority)) {
                break;
            }
            wanted = more;
        }
        if wanted.is_zero() {
            return;
        }
        let rooms = &self.rooms;
        let candidates = self.candidates.get_or_insert_with(|| Candidates::of(step, rooms));
        let victims = candidates.own(step, job, wanted);
        record(step, &victims);
    }
}

fn record(step: &mut Scratch<'_>, victims: &[Candidate]) {
    for victim in victims {
        step.displaced.insert(victim.job);
        let given_up = step.given_up.entry(victim.team).or_default();
        given_up.add(victim.priority, victim.booked);
        step.decisions.push(victim.checkpoint());
    }
}
