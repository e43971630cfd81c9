//! What a new leader does in the first seconds after a power loss of the whole site.

mod site;

use site::Fake;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// Jobs that wait when the power is back.
const JOBS: u64 = 200;

/// Tasks of each.
const TASKS: u32 = 16;

/// A site of large instances without power, and a backlog of jobs that the store holds.
fn site_with_backlog() -> Site {
    let fakes = (0..20).map(|n| {
        let mut fake = Fake::new(&format!("i-{n}"), "oven", "r1");
        fake.capacity.cpu = 200_000;
        fake.capacity.memory = 200_000;
        fake.default_duration_ms = 3_000;
        fake
    });
    let mut site = Site::new(&["oven"], fakes.collect(), 5);
    // The store of a large site, with rows of a few kilobytes.
    site.write_time = ms(40);
    site.run(ms(200));
    let now = site.now;
    for fake in &mut site.fakes {
        fake.crash(now, ms(2_000), &mut site.monitor);
    }
    for number in 0..JOBS {
        site.submit(number, "oven", spec(vec![step(TASKS, 3_000)]));
    }
    site.run(ms(1_000));
    site.crash_leader();
    site.run(ms(1_200));
    assert_eq!(site.accepted.len() as u64, JOBS);
    site
}

/// Thousands of tasks are ready when the power is back. A leader whose starts are answered within
/// milliseconds starts them within a second, instead of finding out for long how many it can start at
/// once.
#[test]
fn a_backlog_starts_within_a_second() {
    let mut site = site_with_backlog();
    site.change_leader(false);
    let mut started = Vec::new();
    for _ in 0..9 {
        site.run(ms(100));
        started.push(site.fakes.iter().map(Fake::runs).sum::<usize>());
    }
    println!("tasks started after each 100 ms: {started:?}");
    let all = JOBS as usize * TASKS as usize;
    assert!(started[8] >= all * 9 / 10, "{} of {all} in 0.9 s: {started:?}", started[8]);
    site.monitor.check();
}
