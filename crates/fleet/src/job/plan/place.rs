//! Places queued jobs on instances, and frees or reserves capacity for those that don't fit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Bins;
use super::Booking;
use super::Planner;
use super::bin::Racks;
use super::preempt::Candidate;
use super::preempt::Candidates;
use super::preempt::Scope;
use super::preempt::Victims;
use super::queue::Queue;
use crate::config::Priority;
use crate::config::Size;
use crate::job::Decision;
use crate::job::index::PoolIndex;
use crate::key;
use crate::team::Admission;
use crate::team::Rank;

/// Instances of a pool for each reservation that it may hold; a pool may always hold one.
const INSTANCES_PER_RESERVATION: usize = 16;

/// Places the queued jobs of a pool in the order of their [`Rank`]s.
pub(super) fn run<'a>(planner: &mut Planner<'a>, pool_index: &'a PoolIndex) {
    let has_due_retry =
        pool_index.retries.first().is_some_and(|(retry_at, _)| *retry_at <= planner.now);
    if pool_index.queue.is_empty() && !has_due_retry {
        return;
    }
    let bins = Bins::of(planner, pool_index);
    let queues = Queue::all(planner, pool_index);
    let racks = BTreeMap::new();
    let mut pass = Pass { pool_index, bins, queues, racks, candidates: None, reserved: 0 };
    pass.run(planner);
}

/// One placement pass over the queues of a pool.
struct Pass<'a> {
    pool_index: &'a PoolIndex,
    bins: Bins,
    queues: Vec<Queue<'a>>,
    racks: BTreeMap<Arc<str>, Racks>,
    candidates: Option<Candidates>,
    /// Number of instances reserved for jobs that have waited long.
    reserved: usize,
}

impl<'a> Pass<'a> {
    fn run(&mut self, planner: &mut Planner<'a>) {
        let mut ranked: BTreeSet<(Rank, usize)> = BTreeSet::new();
        for index in 0..self.queues.len() {
            match self.rank(planner, index) {
                Some(rank) => drop(ranked.insert((rank, index))),
                None => self.preempt_own(planner, index),
            }
        }
        while let Some((rank, index)) = ranked.pop_first() {
            if planner.is_full() {
                return;
            }
            // Other jobs of the team started in this step may have moved the queue back in the order.
            let Some(current) = self.rank(planner, index) else { continue };
            if current > rank {
                ranked.insert((current, index));
                continue;
            }
            if self.place_head(planner, index, rank) {
                self.queues[index].advance(planner, self.pool_index);
                ranked.extend(self.rank(planner, index).map(|rank| (rank, index)));
            }
        }
    }

    fn rank(&self, planner: &Planner<'_>, index: usize) -> Option<Rank> {
        self.queues[index].rank(planner, &self.bins)
    }

    /// Starts the job at the head of a queue, or frees or reserves capacity for it. `false` if the
    /// queue has to wait.
    fn place_head(&mut self, planner: &mut Planner<'_>, index: usize, rank: Rank) -> bool {
        let Some((key, booking)) = self.queues[index].head() else { return false };
        if !self.may_borrow(planner, booking, rank) {
            return false;
        }
        self.start(planner, index, key, booking)
            || (rank.admission == Admission::Quota && self.make_room(planner, booking))
            || self.reserve(planner, booking, rank)
    }

    /// Whether a job may take borrowed capacity, if it borrows. Work that can be checkpointed may
    /// always borrow, since it can be preempted; other work has to leave the headroom free.
    fn may_borrow(&self, planner: &Planner<'_>, booking: Booking<'_>, rank: Rank) -> bool {
        rank.admission == Admission::Quota
            || booking.job.spec.preemptible
            || self.bins.keeps_headroom(booking.size, planner.world.limits.headroom_percent)
    }

    fn start(
        &mut self,
        planner: &mut Planner<'_>,
        index: usize,
        key: key::Job,
        booking: Booking<'_>,
    ) -> bool {
        if !self.bins.may_fit(booking.size) {
            return false;
        }
        let kind = Arc::clone(&self.queues[index].kind);
        let bins = &self.bins;
        let count_racks = |kind: &Arc<str>| Racks::of(planner, self.pool_index, kind, bins);
        let racks = self.racks.entry(kind).or_insert_with_key(count_racks);
        let Some(chosen) = bins.best(booking, racks) else {
            self.bins.record_unplaceable(booking);
            return false;
        };
        let bin = &bins.bins[chosen];
        racks.add(bin.rack);
        planner.decisions.push(Decision::Start {
            job: key,
            number: booking.job.last_attempt + 1,
            instance: bin.instance,
            epoch: bin.epoch,
            boot: bin.boot,
            booked: booking.size,
        });
        let started = planner.started.entry(booking.job.team).or_default();
        started.add(booking.job.spec.priority, booking.size);
        self.bins.allocate(chosen, booking);
        true
    }

    /// Frees capacity for urgent work, or for work within its team's quota that has waited long;
    /// `false` if that is not possible.
    fn make_room(&mut self, planner: &mut Planner<'_>, booking: Booking<'_>) -> bool {
        let urgent = booking.job.spec.priority == Priority::Urgent;
        let waited = planner.now.since(booking.job.submitted);
        if !urgent && waited < planner.world.limits.reclaim() {
            return false;
        }
        if self.bins.earmark(booking) {
            return true;
        }
        let scope = if urgent { Scope::Any } else { Scope::Borrowed };
        let bins = &self.bins;
        let candidates = self.candidates.get_or_insert_with(|| Candidates::of(planner, bins));
        let victims = candidates.choose(planner, bins, booking, scope);
        victims.is_some_and(|victims| self.preempt(planner, victims, booking))
    }

    /// Reserves an instance for a job that has waited long. Only work that can be checkpointed is
    /// started there meanwhile, and is preempted once that frees enough for the job.
    fn reserve(&mut self, planner: &mut Planner<'_>, booking: Booking<'_>, rank: Rank) -> bool {
        let waited = planner.now.since(booking.job.submitted);
        let max_reserved = (self.bins.bins.len() / INSTANCES_PER_RESERVATION).max(1);
        if self.reserved >= max_reserved || waited < planner.world.limits.reserve() {
            return false;
        }
        let Some(index) = self.bins.reserve(booking) else { return false };
        self.reserved += 1;
        if self.bins.earmark_at(index, booking) {
            return true;
        }
        let scope = Scope::After(Rank { dominant_share: 0, ..rank });
        let bins = &self.bins;
        let candidates = self.candidates.get_or_insert_with(|| Candidates::of(planner, bins));
        let victims = candidates.choose_in(planner, bins, index, booking.size, scope);
        victims.is_some_and(|victims| self.preempt(planner, victims, booking))
    }

    fn preempt(
        &mut self,
        planner: &mut Planner<'_>,
        victims: Victims,
        booking: Booking<'_>,
    ) -> bool {
        self.bins.earmark_freed(&victims, booking.size);
        record_preemptions(planner, &victims.victims);
        true
    }

    /// Preempts less urgent work of a team that is at its quota, so that its urgent work can start
    /// within the quota.
    fn preempt_own(&mut self, planner: &mut Planner<'_>, index: usize) {
        let Some((_, booking)) = self.queues[index].head() else { return };
        let job = booking.job;
        let Some(team) = planner.world.teams.get(job.team) else { return };
        if job.spec.priority != Priority::Urgent {
            return;
        }
        let used = planner.used(job.team);
        let mut wanted = Size::default();
        for _ in 0..self.queues[index].len() {
            let more = wanted.plus(booking.size);
            if !Admission::is_blocked_by_own_work(&team.spec, &used, (more, job.spec.priority)) {
                break;
            }
            wanted = more;
        }
        if wanted.is_zero() {
            return;
        }
        let bins = &self.bins;
        let candidates = self.candidates.get_or_insert_with(|| Candidates::of(planner, bins));
        let victims = candidates.choose_own(planner, job, wanted);
        record_preemptions(planner, &victims);
    }
}

fn record_preemptions(planner: &mut Planner<'_>, victims: &[Candidate]) {
    for victim in victims {
        planner.preempted.insert(victim.job);
        let released = planner.released.entry(victim.team).or_default();
        released.add(victim.priority, victim.booked);
        planner.decisions.push(victim.checkpoint());
    }
}
