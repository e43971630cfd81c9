//! Free capacity of the instances of a pool, kept up to date within a planning step.

use std::collections::BTreeMap;

use super::Booking;
use super::Planner;
use super::preempt::Victims;
use super::quarantine::Suspicion;
use super::score;
use super::score::Score;
use crate::config::Priority;
use crate::config::Size;
use crate::instance;
use crate::job::Total;
use crate::job::Trust;
use crate::job::index::InstanceIndex;
use crate::job::index::PoolIndex;
use crate::key;
use crate::time::Time;

/// The instances of a pool that may accept work: serving, reporting and not in quarantine.
pub(in crate::job) struct Bins {
    pub(in crate::job) bins: Vec<Bin>,
    /// Upper bound of the free capacity of any instance, in each dimension.
    max_free: Size,
    /// Maximum capacity of any instance, in each dimension.
    max_capacity: Size,
    /// Sizes that fit nowhere, each with whether the job was preemptible.
    unplaceable: Vec<(bool, Size)>,
    /// Sizes that could not be earmarked; cleared when a preemption frees more capacity.
    not_earmarked: Vec<Size>,
    /// Total capacity that is free, or would be if all preemptible work were preempted.
    reclaimable: Total,
    capacity: Total,
}

/// An instance and its free capacity.
#[derive(Clone, Debug)]
pub(in crate::job) struct Bin {
    pub(in crate::job) instance: key::Instance,
    pub(super) epoch: u64,
    pub(super) boot: u64,
    pub(super) rack: key::Rack,
    pub(in crate::job) capacity: Size,
    pub(in crate::job) free: Size,
    /// Free capacity if all preemptible work were preempted.
    free_if_preempted: Size,
    /// Resources that ending attempts are about to release and that are not earmarked.
    pub(in crate::job) releasing: Size,
    pub(super) trust: Trust,
    /// Suspicion against its worker.
    pub(super) suspicion: Suspicion,
    pub(super) attempts: usize,
    /// Whether it is reserved for a job that has waited long.
    pub(super) reserved: bool,
}

impl Bins {
    pub(in crate::job) fn of(planner: &Planner<'_>, pool_index: &PoolIndex) -> Self {
        let mut this = Self {
            bins: Vec::with_capacity(pool_index.instances.len()),
            max_free: Size::default(),
            max_capacity: Size::default(),
            unplaceable: Vec::new(),
            not_earmarked: Vec::new(),
            reclaimable: Total::default(),
            capacity: Total::default(),
        };
        for &instance in &pool_index.instances {
            let Some(instance_index) = planner.index.instance(instance) else { continue };
            let Some(mut bin) = Bin::of(planner, instance, instance_index) else { continue };
            if pool_index.failing.contains(&instance) && bin.trust == Trust::Trusted {
                bin.suspicion = Suspicion::of(planner, pool_index, instance, instance_index);
            }
            this.max_free = this.max_free.component_max(bin.free);
            this.max_capacity = this.max_capacity.component_max(bin.capacity);
            this.reclaimable.add(bin.free_if_preempted);
            this.capacity.add(bin.capacity);
            this.bins.push(bin);
        }
        this
    }

    /// Whether some instance may have this much free; a cheap check before [`Bins::best`].
    pub(super) fn may_fit(&self, size: Size) -> bool {
        size.fits_in(self.max_free)
    }

    /// Index of the instance with the best score for a job; `None` if it fits nowhere.
    pub(super) fn best(&self, booking: Booking<'_>, racks: &Racks) -> Option<usize> {
        let preemptible = booking.job.spec.preemptible;
        let is_unplaceable =
            |(tried, size): &(bool, Size)| *tried == preemptible && size.fits_in(booking.size);
        if self.unplaceable.iter().any(is_unplaceable) {
            return None;
        }
        let bins = self.bins.iter().enumerate();
        let accepting =
            bins.filter(|(_, bin)| bin.accepts(booking) && (preemptible || !bin.reserved));
        let fitting = accepting.filter(|(_, bin)| booking.size.fits_in(bin.free));
        let scored = fitting.map(|(index, bin)| (Score::of(booking, bin, racks), index));
        scored.min().map(|(_, index)| index)
    }

    /// Whether a job is large and has waited so long that it takes precedence over smaller ones.
    pub(super) fn is_starved(&self, planner: &Planner<'_>, size: Size, submitted: Time) -> bool {
        planner.now.since(submitted) >= planner.world.limits.reserve() && self.is_large(size)
    }

    /// Whether a job takes more than half of the cores or memory of the largest instance, or at
    /// least half of its accelerators.
    fn is_large(&self, size: Size) -> bool {
        let largest = self.max_capacity;
        let double = size.plus(size);
        double.milli_cores > largest.milli_cores
            || double.memory_mb > largest.memory_mb
            || (size.accelerators > 1 && double.accelerators >= largest.accelerators)
    }

    /// Records that a job fits nowhere. Free capacity never grows within a step, so the result stays
    /// valid for the rest of the step.
    pub(super) fn record_unplaceable(&mut self, booking: Booking<'_>) {
        if booking.job.spec.idempotent || !self.has_untrusted() {
            self.unplaceable.push((booking.job.spec.preemptible, booking.size));
        }
    }

    /// Allocates capacity for a job that starts.
    pub(super) fn allocate(&mut self, index: usize, booking: Booking<'_>) {
        let size = booking.size;
        let bin = &mut self.bins[index];
        bin.free = bin.free.minus(size);
        bin.attempts += 1;
        if !booking.job.spec.preemptible {
            bin.free_if_preempted = bin.free_if_preempted.minus(size);
            self.reclaimable.remove(size);
        }
    }

    /// Earmarks capacity for a job that fits once ending attempts have released theirs, so that no
    /// other job gets it. `false` if it fits nowhere.
    pub(super) fn earmark(&mut self, booking: Booking<'_>) -> bool {
        let size = booking.size;
        if self.not_earmarked.iter().any(|tried| tried.fits_in(size)) {
            return false;
        }
        let fits =
            |bin: &&mut Bin| bin.accepts(booking) && size.fits_in(bin.free.plus(bin.releasing));
        let bins = self.bins.iter_mut().filter(fits);
        let Some(bin) = bins.min_by_key(|bin| score::leftover(size, bin)) else {
            self.not_earmarked.push(size);
            return false;
        };
        bin.earmark(size);
        true
    }

    /// Earmarks capacity for a job on the instance with this index, as [`Bins::earmark`] does on any
    /// instance. `false` if the job does not fit there.
    pub(super) fn earmark_at(&mut self, index: usize, booking: Booking<'_>) -> bool {
        let bin = &mut self.bins[index];
        let fits = booking.size.fits_in(bin.free.plus(bin.releasing));
        if fits {
            bin.earmark(booking.size);
        }
        fits
    }

    /// Adds the capacity that the victims will release, and earmarks it for a job of this size.
    pub(super) fn earmark_freed(&mut self, victims: &Victims, size: Size) {
        self.not_earmarked.clear();
        let bin = &mut self.bins[victims.index];
        bin.releasing = bin.releasing.plus(victims.freed);
        bin.earmark(size);
    }

    /// Reserves, for a job, the instance where work that can't be preempted takes the smallest part
    /// of the capacity that the job needs. Returns its index.
    pub(super) fn reserve(&mut self, booking: Booking<'_>) -> Option<usize> {
        let size = booking.size;
        let bins = self.bins.iter().enumerate();
        let fitting = bins
            .filter(|(_, bin)| bin.accepts(booking) && !bin.reserved && size.fits_in(bin.capacity));
        let missing = |bin: &Bin| Total::from(size.minus(bin.free_if_preempted));
        let by_missing =
            |(_, bin): &(usize, &Bin)| missing(bin).dominant_share(bin.capacity.into());
        let (index, _) = fitting.min_by_key(by_missing)?;
        self.bins[index].reserved = true;
        Some(index)
    }

    fn has_untrusted(&self) -> bool {
        self.bins.iter().any(|bin| bin.suspicion > Suspicion::None || bin.trust == Trust::Probation)
    }

    /// Whether the pool still has `percent` of its capacity free or used by preemptible work after
    /// starting a job of this size, in each dimension that the job uses.
    pub(in crate::job) fn keeps_headroom(&self, size: Size, percent: u32) -> bool {
        let headroom = self.capacity.percent(percent);
        let left = self.reclaimable.minus(size.into());
        let keeps = |asked: u32, left: u64, headroom: u64| asked == 0 || left >= headroom;
        keeps(size.milli_cores, left.milli_cores, headroom.milli_cores)
            && keeps(size.memory_mb, left.memory_mb, headroom.memory_mb)
            && keeps(size.accelerators, left.accelerators, headroom.accelerators)
    }

    /// Whether an attempt of this size fits on some instance if that is idle.
    pub(in crate::job) fn could_fit(&self, size: Size) -> bool {
        self.bins.iter().any(|bin| size.fits_in(bin.capacity))
    }
}

impl Bin {
    fn of(
        planner: &Planner<'_>,
        instance: key::Instance,
        instance_index: &InstanceIndex,
    ) -> Option<Self> {
        let attributes = instance_index.attributes.as_ref()?;
        let boot = *planner.world.observations.boots.get(&instance)?;
        let trust = planner.world.trust(instance);
        let quarantined = trust == Trust::Quarantine || planner.quarantined.contains(&instance);
        if attributes.state != instance::State::Serving || quarantined {
            return None;
        }
        Some(Self {
            instance,
            epoch: attributes.epoch,
            boot,
            rack: attributes.rack,
            capacity: attributes.capacity,
            free: attributes.capacity.remaining(instance_index.booked),
            free_if_preempted: attributes.capacity.remaining(instance_index.non_preemptible),
            releasing: releasing(planner, instance_index),
            trust,
            suspicion: Suspicion::None,
            attempts: instance_index.attempts.len(),
            reserved: false,
        })
    }

    /// Whether preemptible work may run here.
    pub(super) fn has_preemptible(&self) -> bool {
        self.free_if_preempted != self.free
    }

    /// Whether the trust in the worker allows starting the job here, regardless of free capacity.
    pub(super) fn accepts(&self, booking: Booking<'_>) -> bool {
        let spec = &booking.job.spec;
        let may_probe = spec.idempotent && spec.priority != Priority::Urgent;
        match self.trust {
            Trust::Trusted if self.suspicion == Suspicion::None => true,
            Trust::Trusted if self.suspicion == Suspicion::CoolingDown => false,
            Trust::Trusted | Trust::Probation => self.attempts == 0 && may_probe,
            Trust::Quarantine => false,
        }
    }

    /// Subtracts `size` from the free capacity, and the remainder from the capacity to be released.
    fn earmark(&mut self, size: Size) {
        let from_free = size.component_min(self.free);
        self.free = self.free.minus(from_free);
        self.releasing = self.releasing.minus(size.minus(from_free));
    }
}

/// Resources that ending attempts are about to release, without those that exceed the grace period
/// for checkpoints.
fn releasing(planner: &Planner<'_>, instance_index: &InstanceIndex) -> Size {
    let grace = planner.world.limits.checkpoint_grace();
    let on_time =
        instance_index.releasing.values().filter(|(since, _)| *since + grace > planner.now);
    on_time.fold(Size::default(), |sum, (_, size)| sum.plus(*size))
}

/// Number of attempts of one kind on each rack.
pub(super) struct Racks {
    counts: BTreeMap<key::Rack, u32>,
    /// A rack's even share of the attempts if one more is placed, rounded up.
    share: u32,
    total: u32,
    racks: u32,
}

impl Racks {
    pub(super) fn of(
        planner: &Planner<'_>,
        pool_index: &PoolIndex,
        kind: &str,
        bins: &Bins,
    ) -> Self {
        let mut counts: BTreeMap<key::Rack, u32> = BTreeMap::new();
        for bin in &bins.bins {
            counts.entry(bin.rack).or_default();
        }
        let racks = u32::try_from(counts.len()).unwrap_or(u32::MAX);
        let placed = pool_index.kinds.get(kind).map(|kind| &kind.placed);
        for (instance, count) in placed.into_iter().flatten() {
            let attributes =
                planner.index.instance(*instance).and_then(|found| found.attributes.as_ref());
            if let Some(attributes) = attributes {
                *counts.entry(attributes.rack).or_default() += count;
            }
        }
        let total = counts.values().sum();
        let mut this = Self { counts, share: 0, total, racks };
        this.update_share();
        this
    }

    /// Adds an attempt.
    pub(super) fn add(&mut self, rack: key::Rack) {
        *self.counts.entry(rack).or_default() += 1;
        self.total += 1;
        self.update_share();
    }

    /// Number of attempts by which a rack would exceed its share with one more.
    pub(super) fn excess(&self, rack: key::Rack) -> u32 {
        let count = self.counts.get(&rack).copied().unwrap_or_default();
        (count + 1).saturating_sub(self.share)
    }

    fn update_share(&mut self) {
        self.share = (self.total + 1).div_ceil(self.racks.max(1));
    }
}
