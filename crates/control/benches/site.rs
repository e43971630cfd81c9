//! Cost of the control loop: store calls per second, time per tick, and time until the duty of a
//! lost holder has moved.
//!
//! Store calls and the time until a duty has moved are measured in virtual time and are the same in
//! each run. The time per tick is real time, for all steps of one entry with fakes in memory.

use std::time::Duration;
use std::time::Instant;

use support::Site;
use support::pool_duty;

#[expect(dead_code, reason = "shared with the tests")]
#[path = "../tests/site/support/mod.rs"]
mod support;

/// Sizes of the measured sites: numbers of entries, data centres and workers.
const SIZES: [(usize, usize, usize); 4] = [(9, 3, 50), (9, 3, 300), (24, 8, 50), (72, 8, 50)];

/// Measurement time of each site, virtual.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);

/// Number of timed ticks of the peer mesh; their time is subtracted from that of the entries.
const MESH_TICKS: u32 = 20;

fn main() {
    println!("entries workers reads/s writes/s tick_us moved_ms");
    for (entries, data_centres, workers) in SIZES {
        let mut site = Site::with_workers(entries, data_centres, workers);
        site.run(Duration::from_secs(10));
        site.memory.reset_counters();
        let started = clock();
        site.run(MEASUREMENT_TIME);
        let ticks = MEASUREMENT_TIME.as_millis() / support::TICK.as_millis();
        let tick_time = started.elapsed() / u32::try_from(ticks).unwrap_or(1) / entries as u32;
        let mesh = mesh_time(&site) / entries as u32;
        let tick_time = tick_time.saturating_sub(mesh);
        let counters = site.memory.counters();
        let per_second = |total: u64| total as f64 / MEASUREMENT_TIME.as_secs_f64();
        let holder = site.holder(&pool_duty()).unwrap_or_default();
        site.pause(&holder);
        let moved = site.run_until(Duration::from_secs(10), |site| {
            site.holder(&pool_duty()).is_some_and(|current| current != holder)
        });
        println!(
            "{entries} {workers} {:.1} {:.1} {} {}",
            per_second(counters.reads.total),
            per_second(counters.writes.total),
            tick_time.as_micros(),
            moved.map_or_else(|| "never".to_owned(), |moved| moved.as_millis().to_string()),
        );
    }
}

/// Time of one tick of the simulated peer mesh.
fn mesh_time(site: &Site) -> Duration {
    let started = clock();
    for _ in 0..MESH_TICKS {
        site.mesh.tick(site.now);
    }
    started.elapsed() / MESH_TICKS
}

#[expect(clippy::disallowed_methods, reason = "the clock of a bench")]
fn clock() -> Instant {
    Instant::now()
}
