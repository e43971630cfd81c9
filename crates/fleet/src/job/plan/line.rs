//! Queued jobs that are alike, waiting their turn.

use std::collections::BTreeMap;
use std::collections::btree_set;
use std::iter::Chain;
use std::iter::Copied;
use std::iter::Peekable;
use std::sync::Arc;
use std::vec;

use super::Scratch;
use super::job_of;
use crate::job::index::Book;
use crate::job::index::Group;
use crate::key;
use crate::team::Turn;
use crate::time::Time;

/// Jobs waiting for a retry that one step looks at, for each pool.
const RETRIES: usize = 256;

type Fresh<'a> = Copied<btree_set::Iter<'a, (Time, key::Job)>>;

/// Queued jobs that are alike, oldest first.
pub(super) struct Line<'a> {
    pub(super) kind: Arc<str>,
    members: Peekable<Chain<Fresh<'a>, vec::IntoIter<(Time, key::Job)>>>,
}

impl<'a> Line<'a> {
    /// All lines of a pool.
    pub(super) fn all(step: &Scratch<'a>, book: &'a Book) -> Vec<Self> {
        let mut retried = retried(step, book);
        let mut lines = Vec::with_capacity(book.queue.len() + retried.len());
        for (group, members) in &book.queue {
            let again = retried.remove(group).unwrap_or_default();
            let members = members.iter().copied().chain(again).peekable();
            lines.push(Self { kind: Arc::clone(&group.kind), members });
        }
        for (group, again) in retried {
            let none = btree_set::Iter::default().copied();
            lines.push(Self { kind: group.kind, members: none.chain(again).peekable() });
        }
        lines
    }

    /// The job at its head.
    pub(super) fn head(&mut self) -> Option<key::Job> {
        self.members.peek().map(|&(_, job)| job)
    }

    /// How many jobs wait in it.
    pub(super) fn len(&self) -> usize {
        self.members.size_hint().0
    }

    /// Lets the job at its head go.
    pub(super) fn advance(&mut self) {
        self.members.next();
    }

    /// The turn of the job at its head; `None` where there is none, or its team may not start it.
    pub(super) fn turn(&mut self, step: &Scratch<'_>, book: &Book) -> Option<Turn> {
        let booking = job_of(step.world, book, self.head()?)?;
        let job = booking.job;
        let team = step.world.teams.get(job.team)?;
        let (used, whole) = (step.used(job.team), step.whole(team));
        let asked = (booking.size, job.spec.priority, job.submitted);
        Turn::of(&team.spec, &used, whole, asked)
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
