//! A running average.

/// Samples that the average goes back over.
const MAX_SAMPLES: f64 = 16.0;

/// A running average: the mean of the first few samples, exponential from there on.
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

    /// The average, once there is a sample.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }
}
