//! Queues of jobs of the same class.

use std::collections::BTreeMap;
use std::collections::btree_set;
use std::iter::Chain;
use std::iter::Copied;
use std::sync::Arc;
use std::vec;

use super::Bins;
use super::Booking;
use super::Planner;
use super::booking_of;
use crate::job::index::Class;
use crate::job::index::PoolIndex;
use crate::key;
use crate::team::Rank;
use crate::time::Time;

/// Maximum number of due retries that one step considers in each pool.
const MAX_RETRIES_PER_STEP: usize = 256;

type FirstAttempts<'a> = Copied<btree_set::Iter<'a, (Time, key::Job)>>;

/// Queued jobs of one class: first those without a retry, oldest first, then due retries.
pub(super) struct Queue<'a> {
    pub(super) kind: Arc<str>,
    members: Chain<FirstAttempts<'a>, vec::IntoIter<(Time, key::Job)>>,
    head: Option<(key::Job, Booking<'a>)>,
}

impl<'a> Queue<'a> {
    /// All queues of a pool.
    pub(super) fn all(planner: &Planner<'a>, pool_index: &'a PoolIndex) -> Vec<Self> {
        let mut due_retries = due_retries(planner, pool_index);
        let mut queues = Vec::with_capacity(pool_index.queue.len() + due_retries.len());
        for (class, members) in &pool_index.queue {
            let retries = due_retries.remove(class).unwrap_or_default();
            let members = members.iter().copied().chain(retries);
            queues.push(Self::new(planner, pool_index, Arc::clone(&class.kind), members));
        }
        for (class, retries) in due_retries {
            let none = btree_set::Iter::default().copied();
            queues.push(Self::new(planner, pool_index, class.kind, none.chain(retries)));
        }
        queues
    }

    fn new(
        planner: &Planner<'a>,
        pool_index: &'a PoolIndex,
        kind: Arc<str>,
        members: Chain<FirstAttempts<'a>, vec::IntoIter<(Time, key::Job)>>,
    ) -> Self {
        let mut queue = Self { kind, members, head: None };
        queue.advance(planner, pool_index);
        queue
    }

    /// The job at its head.
    pub(super) const fn head(&self) -> Option<(key::Job, Booking<'a>)> {
        self.head
    }

    /// Number of jobs in it, the head included.
    pub(super) fn len(&self) -> usize {
        self.members.size_hint().0 + usize::from(self.head.is_some())
    }

    /// Removes the job at its head.
    pub(super) fn advance(&mut self, planner: &Planner<'a>, pool_index: &'a PoolIndex) {
        let booking = |(_, job)| Some((job, booking_of(planner.world, pool_index, job)?));
        self.head = self.members.by_ref().find_map(booking);
    }

    /// The rank of the job at its head; `None` if there is none, or its team may not start it.
    pub(super) fn rank(&self, planner: &Planner<'_>, bins: &Bins) -> Option<Rank> {
        let (_, booking) = self.head?;
        let job = booking.job;
        let team = planner.world.teams.get(job.team)?;
        let (used, capacity) = (planner.used(job.team), planner.organisation_capacity(team));
        let asked = (booking.size, job.spec.priority, job.submitted);
        let rank = Rank::of(&team.spec, &used, capacity, asked)?;
        let starved = bins.is_starved(planner, booking.size, job.submitted);
        Some(if starved { rank.starved() } else { rank })
    }
}

/// Jobs whose retry is due, by class.
fn due_retries(
    planner: &Planner<'_>,
    pool_index: &PoolIndex,
) -> BTreeMap<Class, Vec<(Time, key::Job)>> {
    let mut classes: BTreeMap<Class, Vec<_>> = BTreeMap::new();
    let due = pool_index.retries.iter().take_while(|(at, _)| *at <= planner.now);
    for &(_, key) in due.take(MAX_RETRIES_PER_STEP) {
        let Some(job) = planner.world.jobs.get(key) else { continue };
        classes.entry(Class::of(job)).or_default().push((job.submitted, key));
    }
    classes
}
