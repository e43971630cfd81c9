//! The limit on starts under way, in situations that say nothing about what the leader carries.

mod site;

use std::time::Duration;

use site::Fake;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// Time between two rounds of placement of a leader that has much to do.
const ROUND: Duration = Duration::from_millis(100);

/// Tasks of the job that is submitted to an idle leader.
const TASKS: u32 = 200;

/// Runs the site for a round of placement.
fn run_round(site: &mut Site) {
    site.paused_until = site.now + ROUND;
    site.run(ROUND);
}

/// Time that a leader which can start hundreds of tasks at once takes to start [`TASKS`], if it has been
/// idle for `idle` and is occupied until 200 ms after their start commands are handed out.
fn start_time(idle: Duration) -> Duration {
    let fakes = (0..30).map(|n| {
        let mut fake = Fake::new(&format!("i-{n}"), "oven", &format!("r{n}"));
        fake.capacity.cpu = 64_000;
        fake.capacity.memory = 64_000;
        fake
    });
    let mut site = Site::new(&["oven"], fakes.collect(), 7);
    site.run(ms(1_000));
    site.submit(0, "oven", spec(vec![step(1_000, 500)]));
    for _ in 0..40 {
        run_round(&mut site);
    }
    assert_eq!(site.monitor.starts, 1_000, "starts in 4 s");
    site.run(ms(2_000) + idle);
    let submitted = site.now;
    site.submit(1, "oven", spec(vec![step(TASKS, 500)]));
    site.submission_cost = ms(500);
    site.call(2, "oven", spec(vec![step(1, 500)]));
    while site.monitor.starts < u64::from(TASKS) + 1_000 && site.now.since(submitted) < ms(6_000) {
        run_round(&mut site);
    }
    site.monitor.check();
    site.now.since(submitted)
}

/// Time in which nothing was sent does not count as time without an answer: the tasks start as fast after
/// any idle time.
#[test]
fn an_idle_leader_does_not_count_as_overloaded() {
    let times = (0..500).step_by(50).map(|idle| (idle, start_time(ms(idle))));
    let times: Vec<_> = times.collect();
    println!("idle ms and start time: {times:?}");
    let shortest = times.iter().map(|(_, time)| *time).min().unwrap_or_default();
    assert!(times.iter().all(|(_, time)| *time <= shortest * 2), "{times:?}");
}
