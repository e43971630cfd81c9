//! Measures how fast requests leave a queue.

use std::time::Duration;

use fleet::time::Time;

use super::average::Average;

/// Time without a departure that counts as a stall, as a multiple of the average interval.
const STALL_FACTOR: f64 = 8.0;

/// Average interval between departures while the queue has a backlog.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throughput {
    interval: Average,
    last_departure: Option<Time>,
}

impl Throughput {
    /// Records that a request left the queue. `backlogged` says whether others are still queued.
    pub fn depart(&mut self, now: Time, backlogged: bool) {
        if let Some(last) = self.last_departure {
            self.interval.add(now.since(last).as_secs_f64());
        }
        self.last_departure = backlogged.then_some(now);
    }

    /// Starts measuring when a request is queued, unless a backlog is being measured already.
    pub fn start(&mut self, now: Time) {
        self.last_departure.get_or_insert(now);
    }

    /// Expected time for `count` departures; `None` before the first sample.
    pub fn expected_wait(&self, now: Time, count: f64) -> Option<Duration> {
        let average = self.interval.get()?;
        let since_last = self.last_departure.map_or(0.0, |last| now.since(last).as_secs_f64());
        let interval =
            if since_last > average * STALL_FACTOR { since_last / STALL_FACTOR } else { average };
        Some(Duration::from_secs_f64(interval * count))
    }
}
