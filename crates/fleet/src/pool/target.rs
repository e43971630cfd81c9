//! The desired number of ready instances of a pool, between its minimum and its configured size.

use std::time::Duration;

use crate::config::Weights;
use crate::pool::Pool;
use crate::pool::Status;

/// Cooldown of a regular pool at equal weights: the time after which holding one surplus ready
/// instance has cost as much as one move.
const BASE_COOLDOWN: Duration = Duration::from_secs(3600);

/// Limit of the factor by which the weights lengthen or shorten [`BASE_COOLDOWN`].
const MAX_RATIO: f64 = 10.0;

/// Cooldown before a spare pool parks surplus instances. It is short, since parking moves no
/// instance to another pool.
const PARK_COOLDOWN: Duration = Duration::from_secs(150);

/// Desired numbers of ready instances of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// The lowest number that leaves `min_ready` instances ready after the failure of any one rack,
    /// limited to the pool's size. For a spare pool it is `min_ready`.
    pub floor: u32,
    /// The number that the pool should have by the organisation's weights.
    pub desired: u32,
    /// The number that the pool must reach without delay, by moves if necessary: the floor, and what
    /// a wave needs to make progress.
    pub required: u32,
    /// Time for which the pool must have been unchanged before it gives up instances beyond
    /// `desired`, or gets instances to increase from `required` to `desired`.
    pub cooldown: Duration,
}

impl Target {
    /// The target of a regular pool, which isn't a spare pool.
    ///
    /// The organisation's weights determine the desired number between the floor and the configured
    /// size: the higher the weight of moves against that of buffer, the nearer to the size. They also
    /// determine the cooldown: the time after which the cost of holding a surplus instance equals the
    /// cost of the move that removes it.
    pub fn regular(pool: &Pool, status: &Status, weights: Weights) -> Self {
        let size = pool.spec.size.max(pool.spec.min_ready);
        let floor = (pool.spec.min_ready + status.budget.largest_rack()).min(size);
        let wave = if status.wave_due { wave_buffer(weights) } else { 0 };
        let required = (floor + wave).min(size);
        let buffer = (f64::from(size - required) * buffer_share(weights)).round() as u32;
        Self {
            floor,
            required,
            desired: required + buffer,
            cooldown: BASE_COOLDOWN.mul_f64(move_ratio(weights)),
        }
    }

    /// The target of a spare pool: its `min_ready`, plus a share of `largest_rack` that follows from
    /// the weights, plus `shortage`.
    ///
    /// `largest_rack` is the number of instances that the failure of one rack would take from the
    /// regular pools, `shortage` the number of instances that they lack now.
    pub fn spare(pool: &Pool, largest_rack: u32, shortage: u32, weights: Weights) -> Self {
        let size = pool.spec.size.max(pool.spec.min_ready);
        let buffer = (f64::from(largest_rack) * buffer_share(weights)).round().max(1.0) as u32;
        let floor = pool.spec.min_ready;
        let desired = (floor + buffer + shortage).min(size);
        Self { floor, required: desired, desired, cooldown: PARK_COOLDOWN }
    }
}

/// The weight of moves divided by that of buffer, between `1 / MAX_RATIO` and `MAX_RATIO`.
fn move_ratio(weights: Weights) -> f64 {
    let ratio = weights.moves.max(0.0) / weights.buffer.max(f64::EPSILON);
    ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO)
}

/// The fraction, from 0 to 1, of the capacity beyond the required one that is kept as buffer. It
/// grows with the weight of moves and shrinks with that of buffer.
fn buffer_share(weights: Weights) -> f64 {
    share(weights.moves, weights.buffer)
}

/// Number of instances that a pool needs above its floor while a wave maintains its members.
fn wave_buffer(weights: Weights) -> u32 {
    (2.0 * share(weights.rollout, weights.moves)).round().max(1.0) as u32
}

/// Returns `weight / (weight + other)`, or 0.5 if both weights are zero. Negative weights count as
/// zero.
fn share(weight: f64, other: f64) -> f64 {
    let (weight, other) = (weight.max(0.0), other.max(0.0));
    if weight + other <= 0.0 { 0.5 } else { weight / (weight + other) }
}
