//! The capacity of an instance shrinks and grows while it runs.

mod site;

use std::time::Duration;

use scheduler::instance::Capacity;
use scheduler::job::State;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// A pool of `count` instances of 8 cores that start whatever they are told to, and whose shrunk
/// capacity counts at once.
fn pool(count: usize) -> Site {
    let mut instances: Vec<Fake> =
        (0..count).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}"))).collect();
    for fake in &mut instances {
        fake.checks_admission = false;
        fake.resize_grace = Duration::ZERO;
    }
    let mut site = Site::new(&["oven"], instances, 3);
    site.run(ms(300));
    site
}

/// Changes the capacity of an instance, and has the scheduler read the list.
fn resize(site: &mut Site, fake: usize, cpu: u64, memory: u64) {
    let now = site.now;
    let capacity = Capacity { cpu, memory, accelerators: 0 };
    site.fakes[fake].resize(now, capacity, Duration::ZERO);
    site.list_now();
}

/// Tasks whose placement is still being written when their instance shrinks don't start there beyond
/// its capacity.
#[test]
fn placed_tasks_that_no_longer_fit_are_taken_back() {
    let mut site = pool(1);
    site.write_time = ms(80);
    site.submit(1, "oven", spec(vec![step(8, 500)]));
    // The job is stored, and its tasks are placed.
    site.run(ms(120));
    assert_eq!(site.monitor.starts, 0, "placements are still being written");
    resize(&mut site, 0, 3_000, 8_000);
    site.run(ms(400));
    assert_eq!(site.fakes[0].runs(), 3, "as many as fit have started");
    site.run(ms(3_000));
    assert!(site.completed.contains_key(&id(1)), "the others have started later");
    site.monitor.check();
}

/// A long-running task that no longer fits runs on; nothing starts beside it until there is room
/// again.
#[test]
fn nothing_starts_beside_runs_that_exceed_a_shrunk_capacity() {
    let mut site = pool(1);
    site.submit(1, "oven", spec(vec![Step { long_running: true, ..step(6, 500) }]));
    site.run(ms(500));
    assert_eq!(site.fakes[0].runs(), 6);
    resize(&mut site, 0, 4_000, 300);
    site.submit(2, "oven", spec(vec![step(2, 500)]));
    let filler = Step { best_effort: true, long_running: true, memory: 0, ..step(1, 500) };
    site.submit(3, "oven", spec(vec![filler]));
    site.run(ms(10_000));
    assert_eq!(site.fakes[0].runs(), 6, "what runs goes on, and nothing new starts");
    resize(&mut site, 0, 8_000, 8_000);
    site.run(ms(3_000));
    assert!(site.completed.contains_key(&id(2)), "starts when there is room again");
    assert_eq!(site.monitor.running(id(3)), 1);
    site.monitor.check();
}

/// A task that is taken back starts on another instance that has room.
#[test]
fn tasks_that_are_taken_back_start_elsewhere() {
    let mut site = pool(2);
    site.write_time = ms(80);
    site.submit(1, "oven", spec(vec![step(8, 500)]));
    site.run(ms(120));
    assert_eq!(site.monitor.starts, 0, "placements are still being written");
    let key = site.key(0);
    let filled = if site.core().instance(key).tasks.is_empty() { 1 } else { 0 };
    resize(&mut site, filled, 2_000, 8_000);
    site.run(ms(400));
    assert_eq!((site.fakes[filled].runs(), site.fakes[1 - filled].runs()), (2, 6));
    assert_eq!(site.core().taken_back(), 6);
    site.monitor.check();
}

/// A gang of which some members no longer fit starts with one run, as a whole.
#[test]
fn a_gang_that_no_longer_fits_is_taken_back_whole() {
    let mut site = pool(2);
    site.write_time = ms(80);
    site.submit(1, "oven", spec(vec![Step { gang: true, ..step(8, 500) }]));
    site.run(ms(120));
    assert_eq!(site.monitor.starts, 0, "placements are still being written");
    let key = site.key(0);
    let filled = if site.core().instance(key).tasks.is_empty() { 1 } else { 0 };
    resize(&mut site, filled, 3_000, 8_000);
    site.run(ms(100));
    assert_eq!(site.monitor.starts, 0, "no member starts without the others");
    site.run(ms(300));
    assert_eq!((site.monitor.starts, site.monitor.running(id(1))), (8, 8));
    site.monitor.check();
}

/// A leader that can't read the instance list starts nothing on instances without an admission check
/// for longer than their entries are known to hold.
#[test]
fn a_leader_cut_off_from_the_list_does_not_overfill_a_shrunk_instance() {
    let mut site = pool(1);
    if let Some(service) = site.config.services.get_mut("oven") {
        service.admission_check = false;
    }
    site.config.version += 1;
    let config = site.config.clone();
    site.core().configure(config);
    site.fakes[0].resize_grace = ms(4_500);
    for number in 0..300 {
        site.submit(number, "oven", spec(vec![step(1, 500)]));
    }
    site.run(ms(1_000));
    let now = site.now;
    site.store_down_until = now + ms(9_000);
    site.list_lost_until = now + ms(9_000);
    let capacity = Capacity { cpu: 2_000, memory: 8_000, accelerators: 0 };
    site.fakes[0].resize(now, capacity, Duration::ZERO);
    let before = site.monitor.starts;
    site.run(ms(2_500));
    assert!(site.monitor.starts > before + 20, "starts go on while the list is recent");
    site.run(ms(6_500));
    site.monitor.check();
    let stopped = site.monitor.starts;
    site.run(ms(2_000));
    assert!(site.monitor.starts > stopped, "starts go on once the list is read again");
    site.monitor.check();
}

/// Jobs that fit nowhere while their whole pool has shrunk wait, and run once it has grown again.
#[test]
fn jobs_wait_while_their_whole_pool_has_shrunk() {
    let mut site = pool(3);
    for fake in 0..3 {
        resize(&mut site, fake, 0, 0);
    }
    site.run(ms(200));
    site.submit(1, "oven", spec(vec![step(4, 500)]));
    site.submit(2, "oven", spec(vec![Step { long_running: true, ..step(2, 500) }]));
    site.submit(3, "oven", spec(vec![Step { gang: true, ..step(6, 500) }]));
    site.run(ms(10_000));
    assert_eq!(site.monitor.starts, 0);
    let states = [1, 2, 3].map(|number| site.state(number));
    assert_eq!(states, [Some(State::Active); 3]);
    for fake in 0..3 {
        resize(&mut site, fake, 8_000, 8_000);
    }
    site.run(ms(2_500));
    assert!(site.completed.contains_key(&id(1)) && site.completed.contains_key(&id(3)));
    assert_eq!(site.monitor.running(id(2)), 2);
    site.monitor.check();
}

/// The next leader books restored tasks on an instance that has shrunk meanwhile, and starts nothing
/// beside them.
#[test]
fn restored_tasks_may_exceed_a_shrunk_capacity() {
    let mut site = pool(1);
    site.submit(1, "oven", spec(vec![Step { long_running: true, ..step(6, 500) }]));
    site.submit(2, "oven", spec(vec![step(2, 500)]));
    site.run(ms(60));
    let now = site.now;
    let capacity = Capacity { cpu: 3_000, memory: 200, accelerators: 0 };
    site.fakes[0].resize(now, capacity, Duration::ZERO);
    site.change_leader(false);
    site.submit(3, "oven", spec(vec![step(1, 500)]));
    site.run(ms(15_000));
    assert_eq!(site.monitor.running(id(1)), 6);
    assert_eq!(site.state(3), Some(State::Active));
    resize(&mut site, 0, 8_000, 8_000);
    site.run(ms(2_000));
    assert!(site.completed.contains_key(&id(3)));
    site.monitor.check();
}

/// Instances with an admission check that have shrunk unseen are not asked again and again: for 5 s at
/// most six times, for as many tasks as the list shows room for.
#[test]
fn an_instance_that_refuses_for_want_of_room_is_not_hammered() {
    let mut site = pool(2);
    for fake in &mut site.fakes {
        fake.checks_admission = true;
    }
    let now = site.now;
    let capacity = Capacity { cpu: 0, memory: 8_000, accelerators: 0 };
    for fake in 0..2 {
        site.fakes[fake].resize(now, capacity, ms(60_000));
    }
    for number in 0..8 {
        site.submit(number, "oven", spec(vec![step(2, 500)]));
    }
    site.run(ms(5_000));
    let refused: u64 = site.fakes.iter().map(|fake| fake.refused_starts).sum();
    assert!(refused <= 2 * 6 * 8, "{refused} starts refused in 5 s");
    let capacity = Capacity { cpu: 8_000, memory: 8_000, accelerators: 0 };
    for fake in 0..2 {
        let now = site.now;
        site.fakes[fake].resize(now, capacity, Duration::ZERO);
    }
    site.run(ms(4_000));
    assert_eq!(site.completed.len(), 8);
    site.monitor.check();
}

/// An instance that has shrunk unseen refuses members of a gang: the others don't go on without them,
/// and the gang starts elsewhere.
#[test]
fn a_gang_of_which_members_are_refused_starts_anew() {
    let mut site = pool(3);
    for fake in &mut site.fakes {
        fake.checks_admission = true;
        fake.default_duration_ms = 10_000;
    }
    let member = Step { gang: true, cpu: 1_500, ..step(8, 10_000) };
    site.submit(1, "oven", spec(vec![member]));
    let now = site.now;
    let capacity = Capacity { cpu: 2_000, memory: 8_000, accelerators: 0 };
    site.fakes[1].resize(now, capacity, ms(60_000));
    site.run(ms(1_000));
    assert_eq!(site.monitor.running(id(1)), 8);
    site.monitor.check();
}

/// Instances shrink and grow at random, and show it up to 1.5 s later, while leaders change, the store
/// and the list fail and instances crash.
#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    for seed in 1..=12 {
        let instances = (0..6).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
        let mut site = Site::new(&["oven"], instances.collect(), seed);
        if let Some(service) = site.config.services.get_mut("oven") {
            service.admission_check = false;
        }
        site.fakes.iter_mut().for_each(|fake| fake.checks_admission = false);
        site.change_leader(true);
        site.run(ms(300));
        let lasting = Step { long_running: true, anti_affinity: 2, ..step(6, 500) };
        site.submit(1_000_000, "oven", spec(vec![lasting]));
        let end = site.now + ms(40_000);
        let mut next = 0;
        while site.now < end {
            let count = 1 + site.random(6) as u32;
            site.submit(next, "oven", spec(vec![step(count, 500)]));
            next += 1;
            disturb(&mut site);
            let pause = ms(20 + site.random(150));
            site.run(pause);
        }
        for fake in 0..6 {
            let now = site.now;
            site.fakes[fake].resize(now, FULL, Duration::ZERO);
        }
        site.run(ms(30_000));
        site.monitor.check();
        for number in 0..next {
            let state = site.state(number);
            let refused = state.is_none();
            assert!(refused || state == Some(State::Completed), "seed {seed}: {number} {state:?}");
        }
    }
}

/// Capacity of an instance that has not shrunk.
const FULL: Capacity = Capacity { cpu: 8_000, memory: 8_000, accelerators: 0 };

/// Draws a change of an instance's capacity, or a fault.
fn disturb(site: &mut Site) {
    let now = site.now;
    let fake = site.random(6) as usize;
    match site.random(60) {
        0..=11 => {
            let (cpu, listed_after) = (site.random(9) * 1_000, ms(site.random(1_500)));
            site.fakes[fake].resize(now, Capacity { cpu, ..FULL }, listed_after);
        }
        12 if now >= site.store_down_until => site.change_leader(false),
        13 if now >= site.store_down_until => site.change_leader(true),
        14 if now >= site.store_down_until + ms(4_000) => {
            let outage = ms(site.random(8_000));
            site.store_down_until = now + outage;
            site.list_lost_until = now + outage;
        }
        15 => {
            let after = ms(1_000 + site.random(3_000));
            site.fakes[fake].crash(now, after, &mut site.monitor);
        }
        16 => site.write_time = ms(5 + site.random(90)),
        _ => {}
    }
}
