//! Growing pauses with jitter, up to a cap.

use std::time::Duration;

use rand::Rng;

/// Growing pauses with jitter, up to a cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper end of the first pause.
    pub first: Duration,
    /// Upper end of all later pauses.
    pub cap: Duration,
    round: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(Duration::from_millis(200), Duration::from_secs(5))
    }
}

impl Backoff {
    /// The first pause lies below `first`, each next one below twice that, none above `cap`.
    pub const fn new(first: Duration, cap: Duration) -> Self {
        Self { first, cap, round: 0 }
    }

    /// The next pause: anywhere from half its upper end to the whole, so that many clients that
    /// failed together do not come back together.
    pub fn next(&mut self, random: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(self.round).unwrap_or(u32::MAX);
        let upper = self.first.saturating_mul(factor).min(self.cap);
        self.round = (self.round + 1).min(u32::BITS - 1);
        upper.mul_f64(random.random_range(0.5..=1.0))
    }

    /// Starts again from the first pause.
    pub fn reset(&mut self) {
        self.round = 0;
    }
}
