//! Accepted work must not stand still beside free instances, whatever fails. The simulated site
//! watches for it in every test; these bring about the failures that have caused it.

mod site;

use scheduler::job::State;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the first job that keeps running; jobs that end have lower numbers.
const LONG_RUNNING: u64 = 1_000_000;

/// A pool of `count` instances, on each of which a long-running task runs.
fn busy_pool(count: u32, seed: u64) -> Site {
    let instances =
        (0..count).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 3)));
    let mut site = Site::new(&["oven"], instances.collect(), seed);
    for fake in &mut site.fakes {
        fake.fails_after = ms(300);
    }
    site.run(ms(200));
    let long_running = Step { long_running: true, anti_affinity: 1, ..step(count, 500) };
    site.submit(LONG_RUNNING, "oven", spec(vec![long_running]));
    site.run(ms(500));
    site
}

/// Submits a job of two tasks now and then.
fn trickle(site: &mut Site, jobs: std::ops::Range<u64>, pause_ms: u64) {
    for number in jobs {
        site.submit(number, "oven", spec(vec![step(2, 500)]));
        site.run(ms(pause_ms));
    }
}

#[test]
fn instances_with_long_running_tasks_take_work_again_after_failures() {
    let mut site = busy_pool(5, 1);
    for fake in &mut site.fakes {
        fake.fails = true;
    }
    trickle(&mut site, 0..10, 100);
    site.run(ms(3_000));
    for fake in &mut site.fakes {
        fake.fails = false;
    }
    site.run(ms(60_000));
    trickle(&mut site, 100..110, 500);
    site.run(ms(3_000));
    site.monitor.check();
    for number in 100..110 {
        assert_eq!(site.state(number), Some(State::Completed), "job {number}");
    }
}

#[test]
fn a_probation_ends_while_a_long_running_task_runs() {
    let mut site = busy_pool(3, 6);
    site.fakes[0].impossible.extend((0..6).map(id));
    trickle(&mut site, 0..6, 100);
    let key = site.key(0);
    let now = site.now;
    assert!(!site.core().instance(key).accepts_tasks(now), "it is suspended");
    // The longest suspension, and as long a probation.
    site.run(ms(48_000));
    site.submit(100, "oven", spec(vec![step(18, 500)]));
    site.run(ms(200));
    assert!(site.fakes[0].runs() > 2, "{} runs", site.fakes[0].runs());
}

#[test]
fn jobs_that_always_fail_do_not_close_their_pool() {
    let mut site = busy_pool(5, 2);
    for round in 0..6 {
        let impossible = 500 + round;
        for fake in &mut site.fakes {
            fake.impossible.insert(id(impossible));
        }
        site.submit(impossible, "oven", spec(vec![step(8, 500)]));
        trickle(&mut site, round * 10..round * 10 + 4, 500);
    }
    site.run(ms(10_000));
    site.monitor.check();
    for round in 0..6 {
        assert_eq!(site.state(500 + round), Some(State::Failed), "an impossible job");
        for number in round * 10..round * 10 + 4 {
            assert_eq!(site.state(number), Some(State::Completed), "job {number}");
        }
    }
}

#[test]
fn work_starts_soon_after_a_long_failure_of_all_instances() {
    let mut site = busy_pool(4, 3);
    for fake in &mut site.fakes {
        fake.fails = true;
    }
    trickle(&mut site, 0..60, 500);
    for fake in &mut site.fakes {
        fake.fails = false;
    }
    trickle(&mut site, 100..110, 500);
    site.run(ms(5_000));
    site.monitor.check();
}

#[test]
fn jobs_that_fit_nowhere_do_not_hide_others() {
    let mut site = busy_pool(4, 4);
    for number in 0..30 {
        let long_running = number % 2 == 0;
        let nowhere = Step { requires: "gold".to_owned(), long_running, ..step(1, 500) };
        site.submit(number, "oven", spec(vec![nowhere]));
        site.run(ms(20));
    }
    trickle(&mut site, 100..140, 200);
    site.run(ms(10_000));
    site.monitor.check();
    for number in 100..140 {
        assert_eq!(site.state(number), Some(State::Completed), "job {number}");
    }
}

#[test]
fn a_task_runs_where_it_failed_if_no_other_instance_takes_it() {
    let mut site = busy_pool(2, 5);
    site.fakes[1].draining = true;
    site.run(ms(600));
    site.fakes[0].fails = true;
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(400));
    site.fakes[0].fails = false;
    site.run(ms(4_000));
    assert_eq!(site.state(1), Some(State::Completed));
}

/// Instances that are sound again are still suspended, and the open ones fail this job alone.
#[test]
fn a_long_running_task_finds_a_sound_instance_among_suspended_ones() {
    let mut site = busy_pool(6, 7);
    for fake in &mut site.fakes[2..4] {
        fake.fails = true;
    }
    trickle(&mut site, 0..20, 100);
    for fake in &mut site.fakes[2..4] {
        fake.fails = false;
    }
    for fake in &mut site.fakes[..2] {
        fake.impossible.insert(id(LONG_RUNNING));
    }
    site.run(ms(6_000));
    site.monitor.check();
    let running = site.monitor.running(id(LONG_RUNNING));
    assert!(running >= 4, "{running} of 6 tasks run, with four sound instances");
}

#[test]
fn an_instance_that_ignores_start_commands_holds_no_job_up() {
    let instances = (0..4).map(|n| Fake::new(&format!("i-{n}"), "oven", "r1"));
    let mut site = Site::new(&["oven"], instances.collect(), 8);
    site.run(ms(200));
    site.fakes[0].ignores_starts = true;
    for number in 0..10 {
        site.submit(number, "oven", spec(vec![step(2, 500)]));
        site.run(ms(4_000));
        assert_eq!(site.state(number), Some(State::Completed), "job {number}");
    }
    site.monitor.check();
}

/// Ten minutes of a site whose work and instances fail now and then, from eight seeds.
#[test]
fn work_never_stands_still_beside_sound_instances() {
    for seed in 1..=8 {
        let mut site = busy_pool(6, seed);
        let mut number = 0;
        for _ in 0..2_400 {
            disturb(&mut site, number);
            if site.random(3) == 0 {
                number += 1;
                let second = Step { after: vec![0], ..step(2, 500) };
                let width = 1 + site.random(8) as u32;
                site.submit(number, "oven", spec(vec![step(width, 500), second]));
            }
            site.run(ms(250));
        }
        for fake in &mut site.fakes {
            fake.fails = false;
            fake.hangs = false;
        }
        site.run(ms(20_000));
        println!("seed {seed}: {} starts", site.monitor.starts);
        site.monitor.check();
    }
}

/// Lets instances fail or hang for some seconds, long-running tasks fail, and some jobs be
/// impossible.
fn disturb(site: &mut Site, last_job: u64) {
    let victim = site.random(6) as usize;
    match site.random(60) {
        0 | 1 => site.fakes[victim].fails = true,
        2 => site.fakes[victim].hangs = true,
        3 => {
            for fake in &mut site.fakes {
                fake.impossible.insert(id(last_job + 1));
            }
        }
        4 => site.fakes[victim].fail_long_running(),
        5 => {
            for fake in &mut site.fakes {
                fake.fails = true;
            }
        }
        6..=18 => {
            site.fakes[victim].fails = false;
            site.fakes[victim].hangs = false;
        }
        _ => {}
    }
}
