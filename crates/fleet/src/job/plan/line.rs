//! Queued jobs that are alike, waiting their turn.

use std::collections::BTreeMap;
use std::collections::btree_set;
use std::iter::Chain;
use std::iter::Copied;
use std::sync::Arc;
use std::vec;

use super::Booking;
use super::Rooms;
use super::Scratch;
use super::job_of;
use crate::job::index::Book;
use crate::job::index::Group;
use crate::key;
use crate::team::Rank;
use crate::time::Time;

/// Jobs waiting for a retry that one step looks at, for each pool.
const RETRIES: usize = 256;

type Fresh<'a> = Copied<btree_set::Iter<'a, (Time, key::Job)>>;

/// Queued jobs that are alike, oldest first.
pub(super) struct Line<'a> {
    pub(super) kind: Arc<str>,
    members: Chain<Fresh<'a>, vec::IntoIter<(Time, key::Job)>>,
    head: Option<(key::Job, Booking<'a>)>,
}

impl<'a> Line<'a> {
    /// All lines of a pool.
    pub(super) fn all(step: &Scratch<'a>, book: &'a Book) -> Vec<Self> {
        let mut retried = retried(step, book);
        let mut lines = Vec::with_capacity(book.queue.len() + retried.len());
        for (group, members) in &book.queue {
            let again = retried.remove(group).unwrap_or_default();
            let members = members.iter().copied().chain(again);
            lines.push(Self::new(step, book, Arc::clone(&group.kind), members));
        }
        for (group, again) in retried {
            let none = btree_set::Iter::default().copied();
            lines.push(Self::new(step, book, group.kind, none.chain(again)));
        }
        lines
    }

    fn new(
        step: &Scratch<'a>,
        book: &'a Book,
        kind: Arc<str>,
        members: Chain<Fresh<'a>, vec::IntoIter<(Time, key::Job)>>,
    ) -> Self {
        let mut line = Self { kind, members, head: None };
        line.advance(step, book);
        line
    }

    /// The job at its head.
    pub(super) const fn head(&self) -> Option<(key::Job, Booking<'a>)> {
        self.head
    }

    /// How many jobs wait in it.
    pub(super) fn len(&self) -> usize {
        self.members.size_hint().0 + usize::from(self.head.is_some())
    }

    /// Lets the job at its head go.
    pub(super) fn advance(&mut self, step: &Scratch<'a>, book: &'a Book) {
        let booking = |(_, job)| Some((job, job_of(step.world, book, job)?));
        self.head = self.members.by_ref().find_map(booking);
    }

    /// The turn of the job at its head; `None` where there is none, or its team may not start it.
    pub(super) fn turn(&self, step: &Scratch<'_>, rooms: &Rooms) -> Option<Rank> {
        let (_, booking) = self.head?;
        let job = booking.job;
        let team = step.world.teams.get(job.team)?;
        let (used, whole) = (step.used(job.team), step.whole(team));
        let asked = (booking.size, job.spec.priority, job.submitted);
        let turn = Rank::of(&team.spec, &used, whole, asked)?;
        let passed_over = rooms.is_passed_over(step, booking.size, job.submitted);
        Some(if passed_over { turn.starved() } else { turn })
    }
}

/// Jobs whose retry is due, by what they are like.
fn retried(step: &Scratch<'_>, book: &Book) -> BTreeMap<Group, Vec<(Time, key::Job)>> {
    let mut groups: BTreeMap<Group, Vec<_>> = BTreeMap::new();
    let due = book.retries.iter().take_while(|(at, _)| *at <= step.now);
    for &(_, key) in due.take(RETRIES) {
        let Some(job) = step.world.jobs.get(key) else { continue };
        groups.entry(Group::of(job)).or_default().push((job.submitted, key));
    }
    groups
}
