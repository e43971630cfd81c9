//! How fast a queue is being worked off.

use std::time::Duration;

use fleet::time::Time;

use super::average::Average;

/// A pause this many times the usual interval shows that the pace has dropped.
const STALL_FACTOR: f64 = 8.0;

/// The average time from one departure to the next while others wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throughput {
    interval: Average,
    last_departure: Option<Time>,
}

impl Throughput {
    /// A request left the queue while more wait, or the queue ran empty.
    pub fn depart(&mut self, now: Time, backlogged: bool) {
        if let Some(last) = self.last_departure {
            self.interval.add(now.since(last).as_secs_f64());
        }
        self.last_departure = backlogged.then_some(now);
    }

    /// A queue begins to form.
    pub fn start(&mut self, now: Time) {
        self.last_departure.get_or_insert(now);
    }

    /// How long `count` departures will take; nothing while that is not known.
    pub fn expected_wait(&self, now: Time, count: f64) -> Option<Duration> {
        let usual = self.interval.get()?;
        let pause = self.last_departure.map_or(0.0, |last| now.since(last).as_secs_f64());
        let interval = if pause > usual * STALL_FACTOR { pause / STALL_FACTOR } else { usual };
        Some(Duration::from_secs_f64(interval * count))
    }
}
