//! A leader that starts or stores less than becomes ready has to choose who waits. Long-running tasks
//! wait for a bounded time, whatever short jobs wait beside them.

mod site;

use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use scheduler::job::Step;
use scheduler::job::TaskName;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the first long-running job; jobs that end have lower numbers.
const LONG_RUNNING: u64 = 1_000_000;

/// Number of long-running tasks.
const LONG_RUNNING_TASKS: u32 = 8;

/// Longest time from the end of a long-running task's run to its next one, beside free instances.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// What the leader has too little of.
#[derive(Clone, Copy)]
enum Bottleneck {
    /// Time to send start commands.
    Starts,
    /// Time to write changes.
    Writes,
    Both,
}

/// A pool of 40 instances, on some of which long-running tasks run.
fn pool() -> Site {
    let instances = (0..40).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 5)));
    let mut site = Site::new(&["oven"], instances.collect(), 3);
    site.run(ms(200));
    let long_running =
        Step { long_running: true, anti_affinity: 1, ..step(LONG_RUNNING_TASKS, 500) };
    site.submit(LONG_RUNNING, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    site
}

/// Downtime of the long-running task that has been without a run for longest.
fn downtime(site: &Site) -> Duration {
    let names = (0..LONG_RUNNING_TASKS).map(|member| TaskName {
        job: id(LONG_RUNNING),
        occurrence: 0,
        step: 0,
        member,
    });
    let down = names.filter(|name| site.monitor.instance_of(*name).is_none());
    let ended = down.map(|name| site.monitor.ended_at(name).unwrap_or(Time::ZERO));
    ended.map(|at| site.now.since(at)).max().unwrap_or_default()
}

cases! {
    long_running_tasks_go_on_beside_starving_jobs;
    long_running_tasks_starve_where_starts_are_scarce: Bottleneck::Starts,
    long_running_tasks_starve_where_writes_are_scarce: Bottleneck::Writes,
    long_running_tasks_starve_where_both_are_scarce: Bottleneck::Both,
}

/// A leader that has accepted what it could start becomes far slower, so that there are always jobs of
/// which nothing has run for long.
fn long_running_tasks_go_on_beside_starving_jobs(bottleneck: Bottleneck) {
    let mut site = pool();
    for number in 0..600 {
        site.submit(number, "oven", spec(vec![step(4, 500)]));
    }
    site.run(ms(100));
    if matches!(bottleneck, Bottleneck::Starts | Bottleneck::Both) {
        site.command_cost = ms(25);
        site.heartbeat_cost = Duration::from_micros(500);
    }
    if matches!(bottleneck, Bottleneck::Writes | Bottleneck::Both) {
        site.write_time = ms(400);
    }
    let mut longest = Duration::ZERO;
    for round in 0..1_000 {
        if round == 100 {
            site.fakes.iter_mut().for_each(Fake::fail_long_running);
        }
        site.run(ms(25));
        longest = longest.max(downtime(&site));
    }
    println!("longest downtime {longest:?}, {} starts", site.monitor.starts);
    assert!(longest < MAX_DOWNTIME, "a long-running task was down for {longest:?}");
}

/// Thirteen long-running jobs that fit nowhere at present are older than one that does.
#[test]
fn a_long_running_task_that_fits_is_not_hidden_by_older_ones_that_do_not() {
    let mut site = pool();
    // Two thirds of each instance are in use.
    let filling = Step { long_running: true, anti_affinity: 1, cpu: 5_000, ..step(40, 500) };
    site.submit(LONG_RUNNING + 1, "oven", spec(vec![filling]));
    site.run(ms(1_000));
    for number in 0..13 {
        let large = Step { long_running: true, cpu: 7_000, ..step(1, 500) };
        site.submit(LONG_RUNNING + 10 + number, "oven", spec(vec![large]));
        site.run(ms(20));
    }
    let small = Step { long_running: true, ..step(1, 500) };
    site.submit(LONG_RUNNING + 100, "oven", spec(vec![small]));
    site.run(ms(4_000));
    assert_eq!(site.monitor.running(id(LONG_RUNNING + 100)), 1, "it fits on any instance");
    site.monitor.check();
}

/// Leaders follow each other in a row, each a few seconds after the other, while one instance of
/// the pool can't be reached.
#[test]
fn long_running_tasks_restart_while_leaders_change_in_a_row() {
    let mut site = pool();
    site.fakes[39].unreachable_until = site.now + ms(60_000);
    site.fakes.iter_mut().for_each(Fake::fail_long_running);
    let mut longest = Duration::ZERO;
    for _ in 0..6 {
        site.change_leader(false);
        for _ in 0..100 {
            site.run(ms(50));
            longest = longest.max(downtime(&site));
        }
    }
    println!("longest downtime {longest:?}");
    // One lease of the first leader, and the longest time until a leader knows of it.
    assert!(longest < ms(13_000), "a long-running task was down for {longest:?}");
}
