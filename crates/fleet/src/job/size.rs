//! Arithmetic on amounts of resources.

use derive_more::Display;

use crate::config::Size;

impl Size {
    /// Whether this fits into `room` in every dimension.
    pub const fn fits_in(self, room: Self) -> bool {
        self.milli_cores <= room.milli_cores
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Whether it is nothing at all.
    pub const fn is_zero(self) -> bool {
        self.milli_cores == 0 && self.memory_mb == 0 && self.accelerators == 0
    }

    /// The sum, held at the largest number.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// The difference, held at nought in each dimension.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// The larger of both in each dimension.
    pub fn component_max(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// The smaller of both in each dimension.
    pub fn component_min(self, other: Self) -> Self {
        self.zip(other, u32::min)
    }

    /// So many hundredths of it. Accelerators are whole and stay as they are.
    pub fn percent(self, percent: u32) -> Self {
        let part = |amount: u32| {
            let scaled = u64::from(amount) * u64::from(percent) / 100;
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        Self {
            milli_cores: part(self.milli_cores),
            memory_mb: part(self.memory_mb),
            accelerators: self.accelerators,
        }
    }

    /// What is left of it beside `booked`.
    pub fn remaining(self, booked: Total) -> Self {
        let left = Total::from(self).minus(booked);
        let narrow = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        Self {
            milli_cores: narrow(left.milli_cores),
            memory_mb: narrow(left.memory_mb),
            accelerators: narrow(left.accelerators),
        }
    }

    fn zip(self, other: Self, apply: fn(u32, u32) -> u32) -> Self {
        Self {
            milli_cores: apply(self.milli_cores, other.milli_cores),
            memory_mb: apply(self.memory_mb, other.memory_mb),
            accelerators: apply(self.accelerators, other.accelerators),
        }
    }
}

/// A sum of [`Size`]s over a whole team or site.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{milli_cores}mc/{memory_mb}MB/{accelerators}acc")]
pub struct Total {
    /// Thousandths of a core.
    pub milli_cores: u64,
    /// Megabytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl From<Size> for Total {
    fn from(size: Size) -> Self {
        Self {
            milli_cores: size.milli_cores.into(),
            memory_mb: size.memory_mb.into(),
            accelerators: size.accelerators.into(),
        }
    }
}

impl Total {
    /// Counts `size` in.
    pub fn add(&mut self, size: Size) {
        *self = self.plus(size.into());
    }

    /// Counts `size` out again.
    pub fn remove(&mut self, size: Size) {
        *self = self.minus(size.into());
    }

    /// The sum.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// The difference, held at nought in each dimension.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Whether this fits into `room` in every dimension.
    pub const fn fits_in(self, room: Self) -> bool {
        self.milli_cores <= room.milli_cores
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// So many hundredths of it.
    pub const fn percent(self, percent: u32) -> Self {
        Self {
            milli_cores: self.milli_cores * percent as u64 / 100,
            memory_mb: self.memory_mb * percent as u64 / 100,
            accelerators: self.accelerators * percent as u64 / 100,
        }
    }

    /// The largest part that this is of `whole` in any dimension, in millionths.
    ///
    /// A dimension of which there is none counts as wholly used once anything of it is asked for.
    pub fn dominant_share(self, whole: Self) -> u64 {
        part(self.milli_cores, whole.milli_cores)
            .max(part(self.memory_mb, whole.memory_mb))
            .max(part(self.accelerators, whole.accelerators))
    }

    fn zip(self, other: Self, apply: fn(u64, u64) -> u64) -> Self {
        Self {
            milli_cores: apply(self.milli_cores, other.milli_cores),
            memory_mb: apply(self.memory_mb, other.memory_mb),
            accelerators: apply(self.accelerators, other.accelerators),
        }
    }
}

/// Millionths in one whole.
pub const MILLION: u64 = 1_000_000;

fn part(amount: u64, whole: u64) -> u64 {
    match (amount, whole) {
        (0, _) => 0,
        (_, 0) => MILLION,
        (amount, whole) => amount.saturating_mul(MILLION) / whole,
    }
}
