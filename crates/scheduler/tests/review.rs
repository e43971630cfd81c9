//! Long-running tasks and short jobs must not wait without a bound, whatever waits beside them. These
//! look for paths besides those of the incident on the large site.

mod site;

use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::TaskName;
use scheduler::machine::Machine;
use scheduler::machine::Operation;
use scheduler::machine::Outcome;
use scheduler::machine::Wave;
use site::Fake;
use site::LIMITS;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the first long-running job; jobs that end have lower numbers.
const LONG_RUNNING: u64 = 1_000_000;

/// Longest time from the end of a long-running task's run to its next one, beside free instances.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// A pool of `count` instances of 8 cores.
fn pool(count: u32) -> Site {
    let instances =
        (0..count).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 5)));
    let mut site = Site::new(&["oven"], instances.collect(), 3);
    site.run(ms(200));
    site
}

fn long_running(count: u32, cpu: u64) -> Step {
    Step { long_running: true, cpu, ..step(count, 500) }
}

/// Downtime of the task of a long-running job that has been without a run for longest. Time before
/// `since` does not count.
fn downtime(site: &Site, job: u64, tasks: u32, since: Time) -> Duration {
    let names = (0..tasks).map(|member| TaskName { job: id(job), occurrence: 0, step: 0, member });
    let down = names.filter(|name| site.monitor.instance_of(*name).is_none());
    let ended = down.map(|name| site.monitor.ended_at(name).unwrap_or(since).max(since));
    ended.map(|at| site.now.since(at)).max().unwrap_or_default()
}

/// Longest downtime of a job's tasks while the site runs for `time`.
fn longest_downtime(site: &mut Site, job: u64, tasks: u32, time: Duration) -> Duration {
    let (since, end) = (site.now, site.now + time);
    let mut longest = Duration::ZERO;
    while site.now < end {
        site.run(ms(50));
        longest = longest.max(downtime(site, job, tasks, since));
    }
    longest
}

/// Two instances that are sound again are suspended, for 24 s after several failures, and only they
/// have room: the others are busy, so that too few are suspended for a readmission.
#[test]
fn a_long_running_task_is_tried_on_suspended_instances_while_others_are_busy() {
    let mut site = pool(10);
    site.fakes[..2].iter_mut().for_each(|fake| fake.draining = true);
    site.run(ms(600));
    let filling = Step { anti_affinity: 1, ..long_running(8, 7_500) };
    site.submit(LONG_RUNNING, "oven", spec(vec![filling]));
    site.run(ms(600));
    assert_eq!(site.monitor.running(id(LONG_RUNNING)), 8, "eight instances are busy");
    for fake in &mut site.fakes[..2] {
        fake.draining = false;
        fake.fails = true;
    }
    for number in 0..110 {
        site.submit(number, "oven", spec(vec![step(2, 500)]));
        site.run(ms(250));
    }
    for fake in &mut site.fakes[..2] {
        fake.fails = false;
    }
    site.submit(LONG_RUNNING + 1, "oven", spec(vec![long_running(1, 6_000)]));
    let longest = longest_downtime(&mut site, LONG_RUNNING + 1, 1, ms(40_000));
    println!("longest downtime {longest:?}");
    assert!(longest < MAX_DOWNTIME, "the task waited for {longest:?}");
}

cases! {
    work_goes_on_beside_a_hopeless_long_running_job;
    a_younger_long_running_job_goes_on_beside_a_hopeless_one: true,
    short_jobs_go_on_beside_a_hopeless_long_running_job: false,
}

/// All tasks of a long-running job fail at once wherever they run, and starts are scarce.
fn work_goes_on_beside_a_hopeless_long_running_job(younger: bool) {
    let mut site = pool(40);
    site.submit(LONG_RUNNING, "oven", spec(vec![long_running(200, 200)]));
    site.run(ms(500));
    let last = Step { anti_affinity: 1, ..long_running(8, 500) };
    site.submit(LONG_RUNNING + 1, "oven", spec(vec![last]));
    site.run(ms(2_000));
    for number in 0..20 {
        site.submit(
            number,
            "oven",
            spec(vec![step(2, 500), Step { after: vec![0], ..step(2, 500) }]),
        );
    }
    site.run(ms(100));
    for fake in &mut site.fakes {
        fake.impossible.insert(id(LONG_RUNNING));
    }
    site.command_cost = ms(25);
    site.heartbeat_cost = Duration::from_micros(500);
    site.run(ms(2_000));
    if younger {
        site.fakes.iter_mut().for_each(Fake::fail_long_running);
    }
    let longest = longest_downtime(&mut site, LONG_RUNNING + 1, 8, ms(25_000));
    let done = (0..20).filter(|&number| site.state(number) == Some(State::Completed)).count();
    println!(
        "longest downtime {longest:?}, {done} of 20 jobs done, {} starts",
        site.monitor.starts
    );
    if younger {
        assert!(longest < MAX_DOWNTIME, "a task of the younger job was down for {longest:?}");
    } else {
        assert_eq!(done, 20, "short jobs completed in 27 s, of 20");
    }
}

/// Leaders follow each other in a row while one instance is gone from the list of instances, and its
/// machine is still listed.
#[test]
fn long_running_tasks_restart_while_leaders_change_and_an_instance_is_unlisted() {
    let mut site = pool(40);
    let lasting = Step { anti_affinity: 1, ..long_running(8, 500) };
    site.submit(LONG_RUNNING, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    assert_eq!(site.monitor.running(id(LONG_RUNNING)), 8);
    let now = site.now;
    let idle = (0..40).find(|&index| site.fakes[index].runs() == 0).expect("32 are idle");
    site.fakes[idle].crash(now, ms(60_000), &mut site.monitor);
    site.fakes.iter_mut().for_each(Fake::fail_long_running);
    let mut longest = Duration::ZERO;
    for _ in 0..6 {
        site.change_leader(false);
        for _ in 0..100 {
            site.run(ms(50));
            longest = longest.max(downtime(&site, LONG_RUNNING, 8, now));
        }
    }
    println!("longest downtime {longest:?}");
    assert!(longest < ms(13_000), "a long-running task was down for {longest:?}");
}

cases! {
    an_unrecorded_run_on_an_unlisted_instance_has_ended_before_the_next_one;
    leaders_change_every_1500_ms: 1_500,
    leaders_change_every_2_s: 2_000,
    leaders_change_every_5_s: 5_000,
}

/// A leader starts tasks without a record and is followed by others, none of which reaches the instance
/// that runs them or finds it in the list. Its clock is 2% slow.
fn an_unrecorded_run_on_an_unlisted_instance_has_ended_before_the_next_one(interval_ms: u64) {
    let mut site = pool(2);
    site.fakes[1].draining = true;
    site.fakes[0].clock_lag_permille = 20;
    site.run(ms(600));
    site.write_time = ms(80);
    site.submit(LONG_RUNNING, "oven", spec(vec![long_running(3, 500)]));
    site.submit(1, "oven", spec(vec![step(4, 60_000)]));
    site.fakes[0].default_duration_ms = 60_000;
    site.fakes[1].default_duration_ms = 500;
    // The jobs are being stored; their tasks are not placed yet.
    site.run(ms(60));
    let now = site.now;
    site.store_down_until = now + ms(1_500);
    site.run(ms(1_400));
    assert_eq!(site.monitor.starts, 7, "all tasks run");
    assert!(site.progress.values().all(|row| row.tasks.is_empty()), "no start is recorded");
    let now = site.now;
    site.fakes[0].unreachable_until = now + ms(60_000);
    site.fakes[0].unlisted_until = now + ms(60_000);
    site.fakes[1].draining = false;
    for _ in 0..20_000 / interval_ms {
        site.change_leader(false);
        site.run(ms(interval_ms));
    }
    site.run(ms(14_000));
    site.monitor.check();
    assert_eq!(site.monitor.running(id(LONG_RUNNING)), 3);
    assert_eq!(site.state(1), Some(State::Completed));
}

/// A site of 32-core instances, each on its own machine.
fn machine_site(pools: &[(&str, usize)]) -> Site {
    let mut fakes = Vec::new();
    for (pool, count) in pools {
        for n in 0..*count {
            let mut fake = Fake::new(&format!("{pool}-{n}"), pool, &format!("r{}", n % 3));
            fake.capacity.cpu = 32_000;
            fake.capacity.memory = 64_000;
            fakes.push(fake);
        }
    }
    let names: Vec<&str> = pools.iter().map(|(name, _)| *name).collect();
    let mut site = Site::new(&names, fakes, 3);
    site.lists_machines = false;
    site.run(ms(200));
    site
}

fn machines(site: &Site) -> Vec<Machine> {
    let machines = site.fakes.iter().map(|fake| Machine {
        host: format!("m-{}", fake.id),
        pool: fake.service.clone(),
        state: scheduler::machine::State::Up,
        instance: fake.id.clone(),
        cpu: 32_000,
    });
    machines.collect()
}

/// Runs the site for `time` while the platform answers each call with `later`. Returns the calls.
fn run_with_busy_platform(site: &mut Site, time: Duration) -> Vec<Operation> {
    let mut calls = Vec::new();
    let end = site.now + time;
    while site.now < end {
        let now = site.now;
        let listed = machines(site);
        site.core().apply_machines(now, now, listed);
        for call in site.core().machine_calls(now) {
            site.core().apply_operation_result(now, &call.operation, Outcome::Later);
            calls.push(call.operation);
        }
        // A call has to be recorded in the store before it is made.
        let hosts = site.core().take_call_hosts(10);
        if !hosts.is_empty() {
            site.core().begin_write(LIMITS);
            site.core().finish_write(now);
        }
        site.run(ms(100));
    }
    calls
}

/// Moves to another pool are planned, the platform answers that they have to wait, and the reason for
/// them passes.
#[test]
fn a_move_that_the_platform_puts_off_does_not_reserve_its_machine_for_ever() {
    let mut site = machine_site(&[("oven", 2), ("till", 8)]);
    let filling = Step { anti_affinity: 1, ..long_running(3, 20_000) };
    site.submit(LONG_RUNNING, "till", spec(vec![filling]));
    run_with_busy_platform(&mut site, ms(500));
    for number in 0..40 {
        site.submit(number, "oven", spec(vec![step(8, 800)]));
    }
    let calls = run_with_busy_platform(&mut site, ms(8_000));
    assert!(!calls.is_empty(), "moves were called");
    site.submit(LONG_RUNNING + 1, "till", spec(vec![long_running(5, 30_000)]));
    run_with_busy_platform(&mut site, ms(25_000));
    let running = site.monitor.running(id(LONG_RUNNING + 1));
    println!("{running} of 5 run, {} calls", calls.len());
    assert_eq!(running, 5, "five instances are empty");
}

/// Both instances await maintenance, and each runs tasks of one step, of which one may be missing.
#[test]
fn an_evicted_task_does_not_wait_for_the_maintenance_that_waits_for_it() {
    let mut site = machine_site(&[("oven", 2)]);
    let apart = Step { max_unavailable: 1, ..long_running(4, 1_000) };
    site.submit(LONG_RUNNING, "oven", spec(vec![apart]));
    run_with_busy_platform(&mut site, ms(2_000));
    assert_eq!(site.monitor.running(id(LONG_RUNNING)), 4);
    let hosts = vec!["m-oven-0".to_owned(), "m-oven-1".to_owned()];
    let now = site.now;
    let wave = Wave { number: 1, hosts, duration: Duration::from_secs(20), max_down: 2 };
    site.core().set_waves(now, vec![wave]);
    let mut longest = Duration::ZERO;
    let mut calls = 0;
    for _ in 0..300 {
        calls += run_with_busy_platform(&mut site, ms(100)).len();
        longest = longest.max(downtime(&site, LONG_RUNNING, 4, now));
    }
    println!("longest downtime {longest:?}, {calls} calls");
    assert!(longest < MAX_DOWNTIME, "an evicted task was down for {longest:?}");
}
