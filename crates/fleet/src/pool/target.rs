//! How many ready instances a pool should have, between what it must and what it may hold.

use std::time::Duration;

use crate::config::Weights;
use crate::pool::Pool;
use crate::pool::Status;

/// How long one instance held ready weighs as much as one move, at even weights.
const MOVE_WORTH: Duration = Duration::from_secs(3600);

/// Most that weights stretch or shrink that time.
const MAX_RATIO: f64 = 10.0;

/// How long a spare pool rests before it parks what it doesn't need. Parking moves nothing.
const PARK_REST: Duration = Duration::from_secs(150);

/// How many ready instances a pool should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Fewest that still keep the promise when the next rack fails.
    pub floor: u32,
    /// How many it should have, by the organisation's weights.
    pub desired: u32,
    /// How many it must get now, by moves if there is no other way: the floor, and what a wave
    /// needs to go on.
    pub required: u32,
    /// How long it rests before it acts on being between what it needs and what it wants, or above.
    pub cooldown: Duration,
}

impl Target {
    /// What a pool that works should have.
    ///
    /// The organisation's weights place it between the floor and the configured size: the more a
    /// move weighs against a unit of buffer, the nearer to the size. They also say how long it
    /// rests: until holding what it has too much has cost as much as the move that ends it.
    pub fn regular(pool: &Pool, standing: &Status, weights: Weights) -> Self {
        let size = pool.spec.size.max(pool.spec.min_ready);
        let floor = (pool.spec.min_ready + standing.budget.largest_rack()).min(size);
        let wave = if standing.wave_due { wave_take(weights) } else { 0 };
        let need = (floor + wave).min(size);
        let kept = (f64::from(size - need) * keep(weights)).round() as u32;
        Self {
            floor,
            required: need,
            desired: need + kept,
            cooldown: MOVE_WORTH.mul_f64(ratio(weights)),
        }
    }

    /// What a spare pool should have ready: what it promises itself, a part of what one rack's
    /// failure takes by the weights, and what working pools are short of now.
    pub fn spare(pool: &Pool, largest_rack: u32, short: u32, weights: Weights) -> Self {
        let size = pool.spec.size.max(pool.spec.min_ready);
        let kept = (f64::from(largest_rack) * keep(weights)).round().max(1.0) as u32;
        let floor = pool.spec.min_ready;
        let want = (floor + kept + short).min(size);
        Self { floor, required: want, desired: want, cooldown: PARK_REST }
    }
}

/// What a move weighs against a unit of buffer.
fn ratio(weights: Weights) -> f64 {
    let ratio = weights.moves.max(0.0) / weights.buffer.max(f64::EPSILON);
    ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO)
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
