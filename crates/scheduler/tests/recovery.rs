//! What a new leader does in the first seconds after a power loss of the whole site.

mod site;

use std::time::Duration;

use scheduler::job::Phase;
use scheduler::machine::Machine;
use scheduler::machine::Outcome;
use scheduler::machine::State;
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
    // After that the leader is known to keep up, and accepts them all.
    site.run(ms(2_000));
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

/// Interval between two reads of the machine list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_600);

fn machines(site: &Site) -> Vec<Machine> {
    let machines = site.fakes.iter().map(|fake| Machine {
        host: format!("m-{}", fake.id),
        pool: fake.service.clone(),
        state: State::Up,
        instance: fake.id.clone(),
        cpu: fake.capacity.cpu,
    });
    machines.collect()
}

/// A new leader lets one pool's idle machines go to another pool, whose new jobs can be on time. It
/// has read all instances, so the pool's accepted jobs start on those that stay, without a wait for
/// those that have gone.
#[test]
fn a_backlog_does_not_wait_for_machines_that_move_away() {
    let fakes = (0..22).map(|n| {
        let mut fake = Fake::new(&format!("i-{n}"), if n < 20 { "oven" } else { "till" }, "r1");
        fake.capacity.cpu = 32_000;
        fake.capacity.memory = 64_000;
        fake
    });
    let mut site = Site::new(&["oven", "till"], fakes.collect(), 5);
    site.lists_machines = false;
    site.run(ms(200));
    let now = site.now;
    for fake in &mut site.fakes {
        fake.crash(now, ms(4_000), &mut site.monitor);
    }
    for number in 0..20 {
        site.submit(number, "oven", spec(vec![step(8, 800)]));
    }
    site.run(ms(1_000));
    site.crash_leader();
    site.run(ms(3_200));
    site.change_leader(false);
    for number in 100..200 {
        site.submit(number, "till", spec(vec![step(8, 800)]));
    }
    // The leader takes a while to read all instances.
    site.heartbeat_cost = ms(20);
    let mut listed_at = None;
    let mut moves = 0;
    for _ in 0..12 {
        let now = site.now;
        if listed_at.is_none_or(|at| now.since(at) >= LIST_INTERVAL) {
            listed_at = Some(now);
            let machines = machines(&site);
            site.core().apply_machines(now, now, machines);
        }
        for call in site.core().machine_calls(now) {
            moves += 1;
            site.core().apply_operation_result(now, &call.operation, Outcome::Accepted);
            let host = call.operation.host();
            let moved = site.fakes.iter_mut().find(|fake| host == format!("m-{}", fake.id));
            moved.expect("the machine exists").crash(now, ms(1_500), &mut site.monitor);
        }
        if !site.core().take_call_hosts(10).is_empty() {
            site.write_at_once();
        }
        site.run(ms(100));
    }
    assert!(moves >= 4, "{moves} moves");
    let running: usize = (0..20).map(|number| site.monitor.running(site::id(number))).sum();
    let jobs = (0..20).filter_map(|number| site.core.as_ref()?.job(site::id(number)));
    let done = jobs.flat_map(|job| &job.tasks).filter(|task| task.phase == Phase::Done).count();
    let begun = running + done;
    assert!(begun >= 100, "{begun} of 160 tasks run or are done after 1.2 s, {moves} moves");
    site.monitor.check();
}
