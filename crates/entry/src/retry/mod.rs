//! Retry budgets.

/// Initial balance and minimum capacity of a budget, in retries: services with few requests need
/// some retries too.
const MIN_CAPACITY: f64 = 10.0;

/// A retry budget: each request adds a fraction of a retry, each retry takes one.
///
/// Each service has one, and only this layer retries: when many upstreams fail together, retries
/// add no more than the configured percentage to the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    percent: u32,
    balance: f64,
}

impl Budget {
    /// A budget of `percent` retries per hundred requests; 0 allows none.
    pub fn new(percent: u32) -> Self {
        let balance = if percent == 0 { 0.0 } else { MIN_CAPACITY };
        Self { percent, balance }
    }

    /// Changes the percentage. If it differs, the budget starts afresh.
    pub fn set_percent(&mut self, percent: u32) {
        if self.percent != percent {
            *self = Self::new(percent);
        }
    }

    /// Adds to the budget for one request.
    pub fn earn(&mut self) {
        let earned = self.balance + f64::from(self.percent) / 100.0;
        self.balance = earned.min(MIN_CAPACITY.max(f64::from(self.percent)));
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
