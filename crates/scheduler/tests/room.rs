//! A long-running task that needs nearly all memory of an instance gets one, however many short tasks
//! keep every instance of its pool in use.

mod site;

use std::time::Duration;

use cases::cases;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the first long-running job; jobs that end have lower numbers.
const LONG_RUNNING: u64 = 1_000_000;

/// Longest time for which a long-running task may be without a run.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// Memory of an instance in megabytes.
const MEMORY: u64 = 131_072;

/// A pool of 6 instances of 32 cores.
fn pool() -> Site {
    let mut instances: Vec<Fake> =
        (0..6).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 3))).collect();
    for fake in &mut instances {
        fake.capacity.cpu = 32_000;
        fake.capacity.memory = MEMORY;
        fake.default_duration_ms = 800;
    }
    let mut site = Site::new(&["oven"], instances, 3);
    site.run(ms(200));
    site
}

/// Submits short jobs that keep `cores` busy, for `time`. Returns the longest time for which one of
/// the long-running jobs was without a run.
fn run_under_load(
    site: &mut Site,
    next: &mut u64,
    time: Duration,
    cores: u64,
    jobs: u64,
) -> Duration {
    let end = site.now + time;
    let began = site.now;
    let mut owed_ms = 0;
    let mut down_since = vec![Some(began); jobs as usize];
    let mut longest = Duration::ZERO;
    while site.now < end {
        // A job of four tasks keeps four cores busy for 800 ms.
        owed_ms += 10 * cores;
        while owed_ms >= 4 * 800 {
            owed_ms -= 4 * 800;
            let short = Step { memory: 1_000, ..step(4, 800) };
            site.submit(*next, "oven", spec(vec![short]));
            *next += 1;
        }
        site.run(ms(10));
        for (number, since) in down_since.iter_mut().enumerate() {
            if site.monitor.running(id(LONG_RUNNING + number as u64)) > 0 {
                *since = None;
            } else {
                longest = longest.max(site.now.since(*since.get_or_insert(site.now)));
            }
        }
    }
    longest
}

cases! {
    large_tasks_get_instances_that_short_tasks_keep_in_use;
    one_beside_little_work: (1, 60),
    one_beside_much_work: (1, 172),
    three_beside_much_work: (3, 172),
}

fn large_tasks_get_instances_that_short_tasks_keep_in_use((jobs, cores): (u64, u64)) {
    let mut site = pool();
    let mut next = 0;
    run_under_load(&mut site, &mut next, ms(3_000), cores, 0);
    for number in 0..jobs {
        let large = Step { long_running: true, memory: 125_000, ..step(1, 500) };
        site.submit(LONG_RUNNING + number, "oven", spec(vec![large]));
    }
    let longest = run_under_load(&mut site, &mut next, ms(20_000), cores, jobs);
    println!("longest downtime {longest:?}");
    assert!(longest < MAX_DOWNTIME, "a large task waited for {longest:?}");
    site.monitor.check();
}

/// However many large tasks wait, a quarter of the pool is kept free for them at most, and one instance
/// at least.
#[test]
fn few_instances_are_kept_free_at_a_time() {
    let mut site = pool();
    let mut next = 0;
    run_under_load(&mut site, &mut next, ms(3_000), 172, 0);
    for number in 0..5 {
        let large = Step { long_running: true, memory: 125_000, ..step(1, 500) };
        site.submit(LONG_RUNNING + number, "oven", spec(vec![large]));
    }
    let mut most = 0;
    for _ in 0..200 {
        run_under_load(&mut site, &mut next, ms(50), 172, 0);
        let held = site.core().instances().filter(|(_, it)| it.held_for.is_some()).count();
        most = most.max(held);
    }
    assert_eq!(most, 1, "instances kept free at a time, of 6");
}
