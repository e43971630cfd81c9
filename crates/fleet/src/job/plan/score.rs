//! How much harm a job does at an instance; the least is chosen.

use super::Booking;
use super::room::Racks;
use super::room::Room;
use super::watch::Doubt;
use crate::config::Size;
use crate::job::Total;

/// The harm that a job does at an instance, worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score {
    /// Whether it failed there before, or others did of late.
    doubt: u8,
    /// How much use is lost of the accelerators left free.
    loss: u32,
    /// Attempts of its kind that the rack would have beyond its share.
    excess: u32,
    /// What stays free, in millionths: a tight fit leaves large pieces elsewhere.
    leftover: u64,
}

impl Score {
    pub(super) fn of(booking: Booking<'_>, room: &Room, racks: &Racks) -> Self {
        let failed = booking.job.failed_at(room.instance);
        Self {
            doubt: u8::from(failed) * 2 + u8::from(room.doubt >= Doubt::Proven),
            loss: loss(booking.size, room),
            excess: racks.excess(room.rack),
            leftover: leftover(booking.size, room),
        }
    }
}

/// What stays free of what the job uses, summed over its dimensions, in millionths.
pub(super) fn leftover(size: Size, room: &Room) -> u64 {
    let left = room.free.minus(size);
    let whole = Total::from(room.capacity);
    let only = |cores: u32, memory: u32| {
        Total::from(Size { milli_cores: cores, memory_mb: memory, accelerators: 0 })
    };
    only(left.milli_cores, 0).dominant_share(whole) + only(0, left.memory_mb).dominant_share(whole)
}

/// How much use is lost of the accelerators left free.
///
/// Free accelerators are worth what they can hold: each run of two, four, eight of them on one
/// instance counts beside the single ones. An accelerator with too few processors or too little
/// memory left beside it is worth nothing.
fn loss(size: Size, room: &Room) -> u32 {
    if room.capacity.accelerators == 0 {
        return 0;
    }
    let before = worth(usable(room.free, room.capacity));
    let after = worth(usable(room.free.minus(size), room.capacity));
    let lost = before.saturating_sub(after);
    // A job that needs none is better off where there are none.
    lost * 2 + u32::from(size.accelerators == 0)
}

/// Largest run of accelerators that counts.
const LARGEST_RUN: u32 = 8;

fn worth(accelerators: u32) -> u32 {
    let mut worth = 0;
    let mut run = 1;
    while run <= LARGEST_RUN {
        worth += accelerators / run * run;
        run *= 2;
    }
    worth
}

/// Part of its even share of processors and memory that an accelerator is of use with, hundredths.
const COMPANION_PERCENT: u32 = 50;

/// Free accelerators that have processors and memory enough beside them.
fn usable(free: Size, capacity: Size) -> u32 {
    let even = capacity.percent(COMPANION_PERCENT);
    let share = |amount: u32| (amount / capacity.accelerators).max(1);
    free.accelerators
        .min(free.milli_cores / share(even.milli_cores))
        .min(free.memory_mb / share(even.memory_mb))
}
