//! How fast a queue is being worked off.

use std::time::Duration;

use fleet::time::Time;

/// Share of the newest interval in the average.
const NEWEST: f64 = 1.0 / 16.0;

/// A pause this many times the usual interval shows that the pace has dropped.
const STALLED: f64 = 8.0;

/// The average time from one departure to the next while others wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    interval: Option<f64>,
    last: Option<Time>,
}

impl Pace {
    /// A request left the queue while more wait, or the queue ran empty.
    pub fn depart(&mut self, now: Time, backlogged: bool) {
        if let Some(last) = self.last {
            let newest = now.since(last).as_secs_f64();
            let average = self.interval.unwrap_or(newest);
            self.interval = Some(average + (newest - average) * NEWEST);
        }
        self.last = backlogged.then_some(now);
    }

    /// A queue begins to form.
    pub fn begin(&mut self, now: Time) {
        self.last.get_or_insert(now);
    }

    /// How long `count` departures will take; nothing while that is not known.
    pub fn wait(&self, now: Time, count: f64) -> Option<Duration> {
        let usual = self.interval?;
        let pause = self.last.map_or(0.0, |last| now.since(last).as_secs_f64());
        let interval = if pause > usual * STALLED { pause / STALLED } else { usual };
        Some(Duration::from_secs_f64(interval * count))
    }
}
