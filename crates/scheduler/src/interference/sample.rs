//! Mean and spread of relative durations, of which older ones count less.

/// Logarithm of the longest and of the shortest relative duration that counts: one run says no more.
const MAX_LN: f64 = 1.5;

/// Relative durations of runs, as sums over their logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Sample {
    /// Number of runs; older ones count less.
    pub(super) runs: f64,
    sum: f64,
    squares: f64,
}

impl Sample {
    /// Adds a run that took `ratio` times its expected duration.
    pub(super) fn add(&mut self, ratio: f64) {
        let ln = ratio.max(f64::MIN_POSITIVE).ln().clamp(-MAX_LN, MAX_LN);
        self.runs += 1.0;
        self.sum += ln;
        self.squares += ln * ln;
    }

    /// Lowers the weight of all runs so far.
    pub(super) fn decay(&mut self, factor: f64) {
        self.runs *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }

    /// What is left without the runs of a part.
    pub(super) fn without(self, part: Self) -> Self {
        Self {
            runs: (self.runs - part.runs).max(0.0),
            sum: self.sum - part.sum,
            squares: self.squares - part.squares,
        }
    }

    /// Mean of the logarithms.
    pub(super) fn mean(self) -> f64 {
        self.sum / self.runs.max(f64::MIN_POSITIVE)
    }

    /// Variance of the logarithms.
    pub(super) fn variance(self) -> f64 {
        let mean = self.mean();
        (self.squares / self.runs.max(f64::MIN_POSITIVE) - mean * mean).max(0.0)
    }
}
