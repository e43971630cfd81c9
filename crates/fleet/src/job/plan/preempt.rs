//! Chooses the attempts to preempt for work that takes precedence.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::Bins;
use super::Booking;
use super::Planner;
use super::bin::Bin;
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

/// Attempts to preempt on one instance.
pub(super) struct Victims {
    /// Index of the instance in [`Bins::bins`].
    pub(super) index: usize,
    /// Resources that they release.
    pub(super) freed: Size,
    /// The attempts.
    pub(super) victims: Vec<Candidate>,
}

/// Which attempts may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Attempts that use borrowed capacity.
    Borrowed,
    /// Attempts of jobs that rank after this one. A preempted job can then not be placed again before
    /// the job that it was preempted for.
    After(Rank),
    /// All attempts that are not urgent.
    Any,
}

/// The preemptible attempts of a pool by instance. Collected at most once in a step, when first
/// needed.
pub(super) struct Candidates {
    by_bin: Vec<Vec<Candidate>>,
    /// Sizes for which preemption can't free enough, with the scope that was tried.
    failed: Vec<(Scope, Size)>,
}

/// An attempt that can be preempted.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) job: key::Job,
    pub(super) team: key::Team,
    pub(super) priority: Priority,
    pub(super) booked: Size,
    number: u32,
    submitted: Time,
    started: Time,
    /// Whether the job would count as starved if it were queued.
    starved: bool,
    /// Whether the team's work of at least this priority exceeded its quota when the candidate was
    /// collected.
    borrowed: bool,
}

/// Cost of a choice of victims; the first field counts most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Number of victims within their team's quota.
    within_quota: usize,
    /// Number of victims.
    victims: usize,
    /// Total run time of the victims, seconds.
    seconds_run: u64,
}

impl Candidates {
    pub(super) fn of(planner: &Planner<'_>, bins: &Bins) -> Self {
        let by_bin: Vec<_> = bins.bins.iter().map(|bin| candidates(planner, bins, bin)).collect();
        Self { by_bin, failed: Vec::new() }
    }

    /// The attempts on one instance whose preemption lets the job fit there, at the lowest cost over
    /// all instances.
    pub(super) fn choose(
        &mut self,
        planner: &Planner<'_>,
        bins: &Bins,
        booking: Booking<'_>,
        scope: Scope,
    ) -> Option<Victims> {
        let size = booking.size;
        let known_to_fail =
            |(tried, failed): &(Scope, Size)| *tried == scope && failed.fits_in(size);
        if self.failed.iter().any(known_to_fail) {
            return None;
        }
        let mut best: Option<(Cost, usize, Vec<Candidate>)> = None;
        for (index, bin) in bins.bins.iter().enumerate() {
            if !bin.accepts(booking) || !size.fits_in(bin.capacity) {
                continue;
            }
            let Some((cost, victims)) = self.choose_at(planner, (index, bin), size, scope) else {
                continue;
            };
            if best.as_ref().is_none_or(|(lowest, _, _)| cost < *lowest) {
                best = Some((cost, index, victims));
            }
        }
        match best {
            Some((_, index, victims)) => Some(Victims::of(index, victims)),
            None => {
                self.failed.push((scope, size));
                None
            }
        }
    }

    /// The attempts whose preemption lets the job fit on the instance with this index.
    pub(super) fn choose_in(
        &self,
        planner: &Planner<'_>,
        bins: &Bins,
        index: usize,
        size: Size,
        scope: Scope,
    ) -> Option<Victims> {
        let (_, victims) = self.choose_at(planner, (index, &bins.bins[index]), size, scope)?;
        Some(Victims::of(index, victims))
    }

    /// Less urgent attempts of the job's own team to preempt, so that the team stays within its
    /// quota with `wanted` more. Attempts already being checkpointed or stopped count as ended.
    /// Empty if that is not possible.
    pub(super) fn choose_own(
        &self,
        planner: &Planner<'_>,
        job: &Job,
        wanted: Size,
    ) -> Vec<Candidate> {
        let Some(team) = planner.world.teams.get(job.team) else { return Vec::new() };
        let mut used = planner.retained(job.team).total().plus(wanted.into());
        let own = self.by_bin.iter().flatten().filter(|one| one.team == job.team);
        let mut own: Vec<_> = own
            .filter(|one| one.priority > job.spec.priority && one.is_retained(planner))
            .collect();
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

    fn choose_at(
        &self,
        planner: &Planner<'_>,
        (index, bin): (usize, &Bin),
        size: Size,
        scope: Scope,
    ) -> Option<(Cost, Vec<Candidate>)> {
        let mut available = bin.free.plus(bin.releasing);
        let mut chosen = Vec::new();
        let mut released: BTreeMap<key::Team, Usage> = BTreeMap::new();
        for &candidate in &self.by_bin[index] {
            if size.fits_in(available) {
                break;
            }
            let helps = !size.minus(available).component_min(candidate.booked).is_zero();
            if helps
                && candidate.is_retained(planner)
                && candidate.is_in_scope(planner, scope, &released)
            {
                let released = released.entry(candidate.team).or_default();
                released.add(candidate.priority, candidate.booked);
                available = available.plus(candidate.booked);
                chosen.push(candidate);
            }
        }
        if !size.fits_in(available) {
            return None;
        }
        drop_needless(&mut chosen, available, size);
        Some((cost(planner, &chosen), chosen))
    }
}

impl Victims {
    fn of(index: usize, victims: Vec<Candidate>) -> Self {
        let freed = victims.iter().fold(Size::default(), |sum, victim| sum.plus(victim.booked));
        Self { index, freed, victims }
    }
}

impl Candidate {
    fn of(planner: &Planner<'_>, bins: &Bins, key: key::Job) -> Option<Self> {
        let job = planner.world.jobs.get(key)?;
        let State::Running(attempt) = &job.state else { return None };
        let is_running = matches!(attempt.action, Action::Run | Action::Throttle(_));
        if !is_running || !job.spec.preemptible || job.spec.priority == Priority::Urgent {
            return None;
        }
        let team = planner.world.teams.get(job.team)?;
        Some(Self {
            job: key,
            team: job.team,
            number: attempt.number,
            booked: attempt.booked,
            submitted: job.submitted,
            started: attempt.started,
            starved: bins.is_starved(planner, attempt.booked, job.submitted),
            borrowed: Admission::exceeds_quota(
                &team.spec,
                &planner.retained(job.team),
                job.spec.priority,
            ),
            priority: job.spec.priority,
        })
    }

    /// Whether this step has not preempted it yet.
    fn is_retained(&self, planner: &Planner<'_>) -> bool {
        !planner.preempted.contains(&self.job)
    }

    /// Whether the attempt is in `scope`, given the earlier preemptions of this step and the further
    /// usage in `released`.
    fn is_in_scope(
        &self,
        planner: &Planner<'_>,
        scope: Scope,
        released: &BTreeMap<key::Team, Usage>,
    ) -> bool {
        match scope {
            Scope::Any => true,
            Scope::Borrowed => self.admission(planner, released) == Admission::Borrowed,
            Scope::After(rank) => self.rank(self.admission(planner, released)) > rank,
        }
    }

    /// How its job would be admitted again after its preemption and the release of `released`.
    fn admission(&self, planner: &Planner<'_>, released: &BTreeMap<key::Team, Usage>) -> Admission {
        let Some(team) = planner.world.teams.get(self.team) else { return Admission::Borrowed };
        let retained = planner.retained(self.team);
        let remaining =
            released.get(&self.team).map_or(retained, |released| retained.minus(released));
        let exceeds_quota = Admission::exceeds_quota(&team.spec, &remaining, self.priority);
        if exceeds_quota { Admission::Borrowed } else { Admission::Quota }
    }

    /// The rank of its job in the queue after its preemption, without regard to its team's share.
    const fn rank(&self, admission: Admission) -> Rank {
        let (priority, submitted) = (self.priority, self.submitted);
        Rank { admission, not_starved: !self.starved, priority, dominant_share: 0, submitted }
    }

    pub(super) const fn checkpoint(&self) -> Decision {
        let (job, number, cause) = (self.job, self.number, Cause::Preemption);
        Decision::Checkpoint { job, number, cause }
    }
}

/// The preemptible attempts on an instance in the order of preemption: borrowing ones first, then
/// less urgent ones, then those started last.
fn candidates(planner: &Planner<'_>, bins: &Bins, bin: &Bin) -> Vec<Candidate> {
    if !bin.has_preemptible() {
        return Vec::new();
    }
    let placed = planner.index.placed(bin.instance);
    let mut found: Vec<_> = placed.filter_map(|key| Candidate::of(planner, bins, key)).collect();
    found.sort_by_key(|one| (!one.borrowed, Reverse(one.priority), Reverse(one.started)));
    found
}

/// Removes victims that are not needed for the job to fit.
fn drop_needless(chosen: &mut Vec<Candidate>, mut available: Size, size: Size) {
    chosen.retain(|candidate| {
        let without = available.minus(candidate.booked);
        let needless = size.fits_in(without);
        if needless {
            available = without;
        }
        !needless
    });
}

fn cost(planner: &Planner<'_>, chosen: &[Candidate]) -> Cost {
    Cost {
        within_quota: chosen.iter().filter(|one| !one.borrowed).count(),
        victims: chosen.len(),
        seconds_run: chosen.iter().map(|one| planner.now.since(one.started).as_secs()).sum(),
    }
}
