//! Scores an instance for a job; the lowest score is chosen.

use super::Booking;
use super::bin::Bin;
use super::bin::Racks;
use super::quarantine::Suspicion;
use crate::config::Size;
use crate::job::Total;

/// Cost of placing a job on an instance; the first field counts most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score {
    /// 2 if the job failed there before, plus 1 if a quarantine of the worker is warranted.
    suspicion: u8,
    /// Loss in value of the free accelerators; see [`accelerator_loss`].
    accelerator_loss: u32,
    /// Number of attempts of its kind by which the rack would exceed its share.
    rack_excess: u32,
    /// Free capacity after placement, in millionths. A tight fit keeps larger free pieces elsewhere.
    leftover: u64,
}

impl Score {
    pub(super) fn of(booking: Booking<'_>, bin: &Bin, racks: &Racks) -> Self {
        let failed = booking.job.failed_at(bin.instance);
        Self {
            suspicion: u8::from(failed) * 2 + u8::from(bin.suspicion >= Suspicion::Confirmed),
            accelerator_loss: accelerator_loss(booking.size, bin),
            rack_excess: racks.excess(bin.rack),
            leftover: leftover(booking.size, bin),
        }
    }
}

/// Fractions of cores and memory that stay free after placing `size`, summed, in millionths.
pub(super) fn leftover(size: Size, bin: &Bin) -> u64 {
    let left = bin.free.minus(size);
    let capacity = Total::from(bin.capacity);
    let single = |cores: u32, memory: u32| {
        Total::from(Size { milli_cores: cores, memory_mb: memory, accelerators: 0 })
    };
    single(left.milli_cores, 0).dominant_share(capacity)
        + single(0, left.memory_mb).dominant_share(capacity)
}

/// Loss in value of the free accelerators of an instance.
///
/// Free accelerators are valued by the jobs that fit: besides single ones, each complete group of
/// two, four or eight on one instance counts. An accelerator without enough free cores and memory
/// beside it has no value.
fn accelerator_loss(size: Size, bin: &Bin) -> u32 {
    if bin.capacity.accelerators == 0 {
        return 0;
    }
    let before = value(usable(bin.free, bin.capacity));
    let after = value(usable(bin.free.minus(size), bin.capacity));
    let lost = before.saturating_sub(after);
    // A job that needs no accelerators should rather run on an instance without any.
    lost * 2 + u32::from(size.accelerators == 0)
}

/// Largest group of accelerators that counts.
const MAX_GROUP: u32 = 8;

fn value(accelerators: u32) -> u32 {
    let mut value = 0;
    let mut group = 1;
    while group <= MAX_GROUP {
        value += accelerators / group * group;
        group *= 2;
    }
    value
}

/// Cores and memory that must be free for an accelerator to be usable, percent of its even share
/// of the instance.
const COMPANION_PERCENT: u32 = 50;

/// Number of free accelerators that have enough free cores and memory beside them.
fn usable(free: Size, capacity: Size) -> u32 {
    let even_share = capacity.percent(COMPANION_PERCENT);
    let share = |amount: u32| (amount / capacity.accelerators).max(1);
    free.accelerators
        .min(free.milli_cores / share(even_share.milli_cores))
        .min(free.memory_mb / share(even_share.memory_mb))
}
