//! Ready work is tried wherever its pool has room, whatever waits beside it.

mod site;

use std::time::Duration;

use cases::cases;
use scheduler::instance::Capacity;
use scheduler::job::State;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::pools::run_with_machines;
use site::spec;
use site::step;

/// Number of the first long-running job; jobs that end have lower numbers.
const LONG_RUNNING: u64 = 1_000_000;

/// Longest time for which a job that fits may wait.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Number of a job that finds room.
const FITTING: u64 = 500_000;

/// A pool of instances with 32 cores and 128 GB.
fn pool(count: usize) -> Site {
    let mut instances: Vec<Fake> =
        (0..count).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 3))).collect();
    for fake in &mut instances {
        fake.capacity = Capacity { cpu: 32_000, memory: 131_072, ..fake.capacity };
    }
    let mut site = Site::new(&["oven"], instances, 3);
    site.run(ms(200));
    site
}

/// Runs one long-running task on each instance, of `cpu` millicores and `memory` megabytes.
fn occupy(site: &mut Site, cpu: u64, memory: u64) {
    let count = site.fakes.len();
    let occupying = Step { long_running: true, anti_affinity: 1, cpu, memory, ..step(1, 500) };
    let occupying = Step { count: count as u32, ..occupying };
    site.submit(LONG_RUNNING, "oven", spec(vec![occupying]));
    site.run(ms(1_000));
    assert_eq!(site.monitor.running(id(LONG_RUNNING)), count, "one on each instance");
}

cases! {
    a_job_that_fits_is_not_hidden_by_others_that_do_not;
    hidden_by_thirteen: 13,
    hidden_by_hundreds: 300,
}

/// Jobs that come first in the pool need more memory than is left anywhere, each a little less than
/// the one before.
fn a_job_that_fits_is_not_hidden_by_others_that_do_not(others: u64) {
    let mut site = pool(4);
    occupy(&mut site, 17_000, 113_000);
    for number in 0..others {
        let unfit = Step { memory: 30_000 - number, ..step(1, 500) };
        site.submit(number, "oven", spec(vec![unfit]));
    }
    for number in 0..3 {
        site.submit(FITTING + number, "oven", spec(vec![step(1, 500)]));
    }
    site.run(MAX_WAIT);
    for number in 0..3 {
        assert_eq!(site.state(FITTING + number), Some(State::Completed), "job {number}");
    }
    site.monitor.check();
}

/// One instance has no memory left for as long as its long-running task runs; the other one is
/// suspended, and sound again.
#[test]
fn a_task_tries_a_suspended_instance_where_nothing_that_ends_makes_room() {
    let mut site = pool(2);
    let large = Step { long_running: true, memory: 125_000, ..step(1, 500) };
    site.submit(LONG_RUNNING, "oven", spec(vec![large]));
    site.run(ms(1_000));
    let occupied = site.fakes.iter().position(|fake| fake.runs() > 0).expect("the task runs");
    let other = 1 - occupied;
    site.fakes[other].fails = true;
    let key = site.key(other);
    let is_suspended_for_long = |site: &mut Site| {
        let then = site.now + MAX_WAIT + ms(1_000);
        site.core().instance(key).trust.is_suspended(then)
    };
    for number in 0..300 {
        if is_suspended_for_long(&mut site) {
            break;
        }
        site.submit(number, "oven", spec(vec![Step { memory: 10_000, ..step(1, 500) }]));
        site.run(ms(100));
    }
    assert!(is_suspended_for_long(&mut site), "runs have failed there time and again");
    site.fakes[other].fails = false;
    let fitting = Step { memory: 10_000, ..step(1, 500) };
    site.submit(FITTING, "oven", spec(vec![fitting]));
    site.run(MAX_WAIT);
    assert_eq!(site.state(FITTING), Some(State::Completed));
    site.monitor.check();
}

cases! {
    a_machine_comes_for_a_job_that_no_end_makes_room_for;
    memory_from_standby: (&[("oven", 2), ("spare", 2)], MEMORY),
    memory_from_another_pool: (&[("oven", 2), ("till", 6)], MEMORY),
    cpu_from_standby: (&[("oven", 12), ("spare", 2)], CPU),
    cpu_from_another_pool: (&[("oven", 12), ("till", 6)], CPU),
}

/// What a long-running task on each instance of a pool takes, and what each of a job's tasks needs.
#[derive(Clone, Copy)]
struct Need {
    long_running: (u64, u64),
    short: (u64, u64),
    tasks: u32,
}

/// Most of a pool's CPU is free.
const MEMORY: Need = Need { long_running: (1_000, 50_000), short: (6_350, 17_712), tasks: 1 };

/// Over half of it is free.
const CPU: Need = Need { long_running: (15_000, 1_000), short: (28_950, 1_000), tasks: 2 };

/// Long-running tasks leave most of a pool free, and on no instance enough for a task of the job.
fn a_machine_comes_for_a_job_that_no_end_makes_room_for((pools, need): (&[(&str, usize)], Need)) {
    let mut site = site::pools::site(pools);
    let (cpu, memory) = need.long_running;
    let count = pools[0].1 as u32;
    let long_running =
        Step { long_running: true, anti_affinity: 1, cpu, memory, ..step(count, 500) };
    site.submit(LONG_RUNNING, "oven", spec(vec![long_running]));
    run_with_machines(&mut site, ms(1_000));
    assert_eq!(site.monitor.running(id(LONG_RUNNING)), count as usize, "one on each instance");
    let (cpu, memory) = need.short;
    let large = Step { cpu, memory, ..step(need.tasks, 500) };
    site.submit(FITTING, "oven", spec(vec![large]));
    let calls = run_with_machines(&mut site, ms(10_000));
    assert_eq!(site.state(FITTING), Some(State::Completed), "after {calls:?}");
    assert!(calls.len() <= 2, "one comes, and leaves at the end: {calls:?}");
    site.monitor.check();
}
