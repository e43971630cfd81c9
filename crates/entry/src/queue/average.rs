//! A moving average.

/// Window of the exponential average, in samples.
const MAX_SAMPLES: f64 = 16.0;

/// A moving average: the plain mean of the first [`MAX_SAMPLES`] samples, exponential after that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Average {
    mean: f64,
    samples: f64,
}

impl Average {
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean += (sample - self.mean) / self.samples;
    }

    /// The average, or `None` without samples.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }
}
