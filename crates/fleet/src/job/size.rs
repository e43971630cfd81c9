//! Arithmetic on resource amounts.

use derive_more::Display;

use crate::config::Size;

impl Size {
    /// Whether this fits into `available` in every dimension.
    pub const fn fits_in(self, available: Self) -> bool {
        self.milli_cores <= available.milli_cores
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Whether it is zero in every dimension.
    pub const fn is_zero(self) -> bool {
        self.milli_cores == 0 && self.memory_mb == 0 && self.accelerators == 0
    }

    /// The saturating sum in each dimension.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// The difference in each dimension, at least zero.
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

    /// `percent` percent of this size. Accelerators can't be divided and stay unchanged.
    pub fn percent(self, percent: u32) -> Self {
        let scale = |amount: u32| {
            let scaled = u64::from(amount) * u64::from(percent) / 100;
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        Self {
            milli_cores: scale(self.milli_cores),
            memory_mb: scale(self.memory_mb),
            accelerators: self.accelerators,
        }
    }

    /// This size minus `booked`, at least zero in each dimension.
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
    /// Millicores.
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
    /// Adds `size`.
    pub fn add(&mut self, size: Size) {
        *self = self.plus(size.into());
    }

    /// Subtracts `size`.
    pub fn remove(&mut self, size: Size) {
        *self = self.minus(size.into());
    }

    /// The saturating sum in each dimension.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// The difference in each dimension, at least zero.
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Whether this fits into `available` in every dimension.
    pub const fn fits_in(self, available: Self) -> bool {
        self.milli_cores <= available.milli_cores
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// `percent` percent of this total.
    pub const fn percent(self, percent: u32) -> Self {
        Self {
            milli_cores: self.milli_cores * percent as u64 / 100,
            memory_mb: self.memory_mb * percent as u64 / 100,
            accelerators: self.accelerators * percent as u64 / 100,
        }
    }

    /// The dominant share: the largest fraction of `total` that this takes in any dimension, in
    /// millionths.
    ///
    /// If `total` is zero in a dimension, any amount there counts as a fraction of one.
    pub fn dominant_share(self, total: Self) -> u64 {
        fraction(self.milli_cores, total.milli_cores)
            .max(fraction(self.memory_mb, total.memory_mb))
            .max(fraction(self.accelerators, total.accelerators))
    }

    fn zip(self, other: Self, apply: fn(u64, u64) -> u64) -> Self {
        Self {
            milli_cores: apply(self.milli_cores, other.milli_cores),
            memory_mb: apply(self.memory_mb, other.memory_mb),
            accelerators: apply(self.accelerators, other.accelerators),
        }
    }
}

/// One, in millionths.
pub const MILLION: u64 = 1_000_000;

/// Fraction of `total` in millionths.
fn fraction(amount: u64, total: u64) -> u64 {
    match (amount, total) {
        (0, _) => 0,
        (_, 0) => MILLION,
        (amount, total) => amount.saturating_mul(MILLION) / total,
    }
}
