//! How many ready instances a pool should have, between what it must and what it may hold.

use std::time::Duration;

use crate::config::Weights;
use crate::pool::Pool;
use crate::pool::Standing;

/// How long a pool rests between two acts on a surplus, at even weights.
const REST: Duration = Duration::from_secs(300);

/// How long a shortage that breaks no promise is waited out, at even weights.
const PATIENCE: Duration = Duration::from_secs(600);

/// How many ready instances a pool should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Fewest that still keep the promise when the next rack fails.
    pub floor: u32,
    /// How many it should have, by the organisation's weights.
    pub want: u32,
    /// How long a shortage between the two is waited out before an instance is moved in.
    pub patience: Duration,
    /// How long the pool rests before a surplus is given away.
    pub rest: Duration,
}

impl Target {
    /// What a pool that works should have.
    ///
    /// The organisation's weights place it between the floor and the configured size: the more a
    /// move weighs against a unit of buffer, the nearer to the size.
    pub fn working(pool: &Pool, standing: &Standing, weights: Weights) -> Self {
        let size = pool.spec.size.max(pool.spec.min_ready);
        let floor = (pool.spec.min_ready + standing.budget.fullest()).min(size);
        let wave = if standing.wave_due { wave_take(weights) } else { 0 };
        let base = (floor + wave).min(size);
        let kept = (f64::from(size - base) * keep(weights)).round() as u32;
        Self { floor, want: base + kept, ..Self::times(weights) }
    }

    /// What a spare pool should have ready: what it promises itself, a part of what one rack's
    /// failure takes by the weights, and what working pools are short of now.
    pub fn spare(pool: &Pool, largest_rack: u32, short: u32, weights: Weights) -> Self {
        let size = pool.spec.size.max(pool.spec.min_ready);
        let kept = (f64::from(largest_rack) * keep(weights)).round().max(1.0) as u32;
        let floor = pool.spec.min_ready;
        Self { floor, want: (floor + kept + short).min(size), ..Self::times(weights) }
    }

    fn times(weights: Weights) -> Self {
        let ratio = (2.0 * keep(weights)).clamp(0.2, 2.0);
        Self { floor: 0, want: 0, patience: PATIENCE.mul_f64(ratio), rest: REST.mul_f64(ratio) }
    }
}

/// The part of the room between floor and size that is kept: moves against buffer.
fn keep(weights: Weights) -> f64 {
    part(weights.moves, weights.buffer)
}

/// Instances that a pool should have beyond its floor while a wave goes through it.
fn wave_take(weights: Weights) -> u32 {
    (2.0 * part(weights.rollout, weights.moves)).round().max(1.0) as u32
}

/// `of / (of + against)`; a half where neither weighs anything.
fn part(of: f64, against: f64) -> f64 {
    let (of, against) = (of.max(0.0), against.max(0.0));
    if of + against <= 0.0 { 0.5 } else { of / (of + against) }
}
