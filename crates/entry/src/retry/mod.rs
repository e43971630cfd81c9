//! How many requests may be sent again.

/// Retries that a quiet service may still make.
const MIN_BURST: f64 = 10.0;

/// A budget of retries that grows with the requests and is spent by retries.
///
/// There is one for each service, in this layer alone: when many upstreams fail together, retries
/// add no more than their percentage to the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    percent: u32,
    balance: f64,
}

impl Budget {
    /// A budget of `percent` retries for each hundred requests.
    pub fn new(percent: u32) -> Self {
        let left = if percent == 0 { 0.0 } else { MIN_BURST };
        Self { percent, balance: left }
    }

    /// Changes the percentage.
    pub fn set_percent(&mut self, percent: u32) {
        if self.percent != percent {
            *self = Self::new(percent);
        }
    }

    /// A request came in.
    pub fn earn(&mut self) {
        let earned = self.balance + f64::from(self.percent) / 100.0;
        self.balance = earned.min(MIN_BURST.max(f64::from(self.percent)));
    }

    /// Takes one retry, if there is one left.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
