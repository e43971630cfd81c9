//! Long-running tasks that fail as soon as they start are started again ever more rarely, though often
//! enough that they run soon after the cause of the failures is gone.

mod site;

use std::time::Duration;

use fleet::time::Time;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the first long-running job; jobs that end have lower numbers.
const LONG_RUNNING: u64 = 1_000_000;

/// Number of long-running jobs, of one task each.
const JOBS: u64 = 30;

/// A pool of 100 instances, and long-running jobs whose runs fail 50 ms after their start.
fn failing_jobs() -> Site {
    let instances = (0..100).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 5)));
    let mut site = Site::new(&["oven"], instances.collect(), 3);
    set_impossible(&mut site, true);
    site.run(ms(200));
    for number in 0..JOBS {
        let long_running = Step { long_running: true, ..step(1, 500) };
        site.submit(LONG_RUNNING + number, "oven", spec(vec![long_running]));
    }
    site
}

fn set_impossible(site: &mut Site, impossible: bool) {
    let jobs = (0..JOBS).map(|number| id(LONG_RUNNING + number));
    let jobs: std::collections::BTreeSet<_> = jobs.filter(|_| impossible).collect();
    for fake in &mut site.fakes {
        fake.fails_after = ms(50);
        fake.impossible.clone_from(&jobs);
    }
}

#[test]
fn tasks_that_fail_at_once_take_few_starts() {
    let mut site = failing_jobs();
    site.run(ms(10_000));
    let starts = site.monitor.starts;
    println!("{starts} starts");
    assert!(starts >= 5 * JOBS, "{starts} starts of {JOBS} tasks in 10 s");
    assert!(starts <= 10 * JOBS, "{starts} starts of {JOBS} tasks in 10 s");
}

#[test]
fn short_jobs_go_on_beside_tasks_that_fail_at_once() {
    let mut site = failing_jobs();
    site.command_cost = ms(10);
    site.run(ms(3_000));
    for number in 0..10 {
        site.submit(number, "oven", spec(vec![step(4, 500)]));
    }
    site.run(ms(4_000));
    let completed = (0..10).filter(|number| site.completed.contains_key(&id(*number))).count();
    assert_eq!(completed, 10, "completed of 10 short jobs");
}

#[test]
fn tasks_run_soon_after_the_cause_of_their_failures_is_gone() {
    let mut site = failing_jobs();
    site.run(ms(10_000));
    set_impossible(&mut site, false);
    site.run(ms(2_500));
    let running = (0..JOBS).map(|number| site.monitor.running(id(LONG_RUNNING + number)));
    assert_eq!(running.sum::<usize>(), JOBS as usize, "running tasks");
}

#[test]
fn a_change_of_leader_does_not_make_them_wait_longer() {
    let mut site = failing_jobs();
    site.run(ms(8_000));
    site.change_leader(true);
    site.run(ms(500));
    set_impossible(&mut site, false);
    site.run(ms(2_500));
    let running = (0..JOBS).map(|number| site.monitor.running(id(LONG_RUNNING + number)));
    assert_eq!(running.sum::<usize>(), JOBS as usize, "running tasks");
}

/// A task that has worked for long is started again at once, however often it failed before.
#[test]
fn a_task_that_worked_restarts_at_once() {
    let mut site = failing_jobs();
    site.run(ms(10_000));
    set_impossible(&mut site, false);
    site.run(ms(6_000));
    let failed_at = site.now;
    site.fakes.iter_mut().for_each(Fake::fail_long_running);
    let mut longest = Duration::ZERO;
    while site.now.since(failed_at) < ms(3_000) {
        site.run(ms(10));
        let down = (0..JOBS).filter(|n| site.monitor.running(id(LONG_RUNNING + n)) == 0);
        if down.count() > 0 {
            longest = site.now.since(failed_at.max(Time::ZERO));
        }
    }
    assert!(longest < ms(200), "tasks that had worked were down for {longest:?}");
}
