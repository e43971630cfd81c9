//! When requests come.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Settings;

/// A stretch of time with one rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// How long it takes.
    pub length: Duration,
    /// How many times the mean rate it has.
    pub times: f64,
}

impl Phase {
    /// The mean rate.
    pub const fn mean(length: Duration) -> Self {
        Self { length, times: 1.0 }
    }

    /// Five times the mean rate.
    pub const fn burst(length: Duration) -> Self {
        Self { length, times: 5.0 }
    }

    /// A twentieth of the mean rate.
    pub const fn lull(length: Duration) -> Self {
        Self { length, times: 0.05 }
    }
}

/// When each request comes, from the start on: gaps are exponential, the same for the same seed.
pub fn schedule(settings: &Settings) -> Vec<Duration> {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut arrivals = Vec::new();
    let mut start = Duration::ZERO;
    for phase in &settings.phases {
        let rate = settings.mean * phase.times;
        let mut at = Duration::ZERO;
        loop {
            let draw: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
            at += Duration::from_secs_f64(-draw.ln() / rate);
            if at >= phase.length {
                break;
            }
            arrivals.push(start + at);
        }
        start += phase.length;
    }
    arrivals
}
