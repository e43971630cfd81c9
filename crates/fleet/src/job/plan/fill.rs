//! Starts queued jobs where there is room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Booking;
use super::Rooms;
use super::Scratch;
use super::job_of;
use super::line::Line;
use super::preempt;
use super::room::Racks;
use crate::config::Priority;
use crate::job::Decision;
use crate::job::index::Book;
use crate::key;
use crate::team::Claim;
use crate::team::Turn;

/// Fills a pool with its queued jobs, in the order of their [`Turn`]s.
pub(super) fn run(step: &mut Scratch<'_>, book: &Book) {
    let waits = book.retries.first().is_some_and(|(at, _)| *at <= step.now);
    if book.queue.is_empty() && !waits {
        return;
    }
    let rooms = Rooms::of(step, book);
    let lines = Line::all(step, book);
    let mut fill = Fill { book, rooms, lines, racks: BTreeMap::new(), reserved: false };
    fill.run(step);
}

struct Fill<'a> {
    book: &'a Book,
    rooms: Rooms,
    lines: Vec<Line<'a>>,
    racks: BTreeMap<Arc<str>, Racks>,
    /// Whether an instance is kept free for a job that has waited long.
    reserved: bool,
}

impl Fill<'_> {
    fn run(&mut self, step: &mut Scratch<'_>) {
        let mut turns: BTreeSet<(Turn, usize)> = BTreeSet::new();
        for (at, line) in self.lines.iter_mut().enumerate() {
            turns.extend(line.turn(step, self.book).map(|turn| (turn, at)));
        }
        while let Some((turn, at)) = turns.pop_first() {
            if step.is_full() {
                return;
            }
            // What this step started for the team may have moved the turn back.
            let Some(present) = self.lines[at].turn(step, self.book) else { continue };
            if present > turn {
                turns.insert((present, at));
                continue;
            }
            if self.serve(step, at, turn) {
                self.lines[at].advance();
                turns.extend(self.lines[at].turn(step, self.book).map(|turn| (turn, at)));
            }
        }
    }

    /// Starts the job at the head of a line or makes room for it; `false` where the line has to
    /// wait.
    fn serve(&mut self, step: &mut Scratch<'_>, at: usize, turn: Turn) -> bool {
        let Some(key) = self.lines[at].head() else { return false };
        let Some(booking) = job_of(step.world, self.book, key) else { return true };
        if !self.may_borrow(step, booking, turn) {
            return false;
        }
        if self.start(step, at, key, booking) {
            return true;
        }
        if turn.claim == Claim::Quota && self.make_room(step, booking) {
            return true;
        }
        let waited = step.now.since(booking.job.submitted);
        if !self.reserved && waited >= step.world.limits.reserve() {
            self.reserved = true;
            self.rooms.reserve(booking);
        }
        false
    }

    /// Borrowed room is given back by a checkpoint. Work that cannot write one leaves some free.
    fn may_borrow(&self, step: &Scratch<'_>, booking: Booking<'_>, turn: Turn) -> bool {
        turn.claim == Claim::Quota
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
        let kind = Arc::clone(&self.lines[at].kind);
        let rooms = &self.rooms;
        let fresh = |kind: &Arc<str>| Racks::of(step, self.book, kind, rooms);
        let racks = self.racks.entry(kind).or_insert_with_key(fresh);
        let Some(chosen) = rooms.best(booking, racks) else { return false };
        let room = &rooms.rooms[chosen];
        racks.add(room.rack);
        step.decisions.push(Decision::Start {
            job: key,
            number: booking.job.number + 1,
            instance: room.instance,
            epoch: room.epoch,
            boot: room.boot,
            booked: booking.size,
        });
        step.started.entry(booking.job.team).or_default().add(booking.size);
        self.rooms.take(chosen, booking.size);
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
        let Some(victims) = preempt::choose(step, &self.rooms, booking, urgent) else {
            return false;
        };
        self.rooms.vacate(&victims, booking.size);
        for (job, decision) in victims.checkpoints {
            step.displaced.insert(job);
            step.decisions.push(decision);
        }
        true
    }
}
