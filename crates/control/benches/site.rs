//! What control costs a site: calls to the store, time of a tick, time to move a lost holder's duty.
//!
//! Calls and times to move are counted in virtual time and are the same in each run. The time of a
//! tick is real, of one entry with all its steps over stand-ins in memory.

use std::time::Duration;
use std::time::Instant;

use support::Site;
use support::pool_duty;

#[expect(dead_code, reason = "shared with the tests")]
#[path = "../tests/site/support/mod.rs"]
mod support;

/// Entries, data centres, workers.
const SIZES: [(usize, usize, usize); 4] = [(9, 3, 50), (9, 3, 300), (24, 8, 50), (72, 8, 50)];

/// How long each site is watched, virtual time.
const WATCH: Duration = Duration::from_secs(20);

fn main() {
    println!("entries workers reads/s writes/s tick_us moved_ms");
    for (entries, data_centres, workers) in SIZES {
        let mut site = Site::with_workers(entries, data_centres, workers);
        site.run(Duration::from_secs(10));
        site.memory.reset_counters();
        let started = clock();
        site.run(WATCH);
        let ticks = WATCH.as_millis() / support::TICK.as_millis();
        let tick = started.elapsed() / u32::try_from(ticks).unwrap_or(1) / entries as u32;
        let counters = site.memory.counters();
        let per_second = |total: u64| total as f64 / WATCH.as_secs_f64();
        let holder = site.holder(&pool_duty()).unwrap_or_default();
        site.pause(&holder);
        let moved = site.run_until(Duration::from_secs(10), |site| {
            site.holder(&pool_duty()).is_some_and(|now| now != holder)
        });
        println!(
            "{entries} {workers} {:.1} {:.1} {} {}",
            per_second(counters.reads.total),
            per_second(counters.writes.total),
            tick.as_micros(),
            moved.map_or_else(|| "never".to_owned(), |moved| moved.as_millis().to_string()),
        );
    }
}

#[expect(clippy::disallowed_methods, reason = "the clock of a bench")]
fn clock() -> Instant {
    Instant::now()
}
