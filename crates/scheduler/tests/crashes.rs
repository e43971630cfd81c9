//! Tasks that crash the instances on which they start, on a simulated site in virtual time.

mod site;

use std::time::Duration;

use cases::cases;
use scheduler::job::Spec;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::TaskName;
use site::Deadly;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Time for which a crashed instance is down.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Most starts of a task that crashes each instance on which it starts.
const MAX_STARTS: u32 = 3;

/// Number of tasks that two instances run.
const MAX_SUSPECTS: usize = 16;

fn site(instances: usize) -> Site {
    let pool = |n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 4));
    let mut site = Site::new(&["oven"], (0..instances).map(pool).collect(), 7);
    site.run(ms(200));
    site
}

fn name(job: u64, step: u32, member: u32) -> TaskName {
    TaskName { job: id(job), occurrence: 0, step, member }
}

/// Makes a task crash its instances `after` it has started.
fn make_deadly(site: &mut Site, task: TaskName, after: Duration) {
    for fake in &mut site.fakes {
        fake.deadly.insert(task, Deadly { after, restarts_after: RESTART_TIME });
    }
}

/// Submits a job of a few short tasks every 100 ms for `time`, with numbers from `first` on. Returns
/// the number after the last.
fn submit_short(site: &mut Site, first: u64, time: Duration) -> u64 {
    let mut number = first;
    let end = site.now + time;
    while site.now < end {
        site.submit(number, "oven", spec(vec![step(2, 500)]));
        number += 1;
        site.run(ms(100));
    }
    number
}

fn check_failed(site: &Site, job: u64, task: TaskName) {
    assert_eq!(site.state(job), Some(State::Failed), "{task}");
    let crashes = site.monitor.crashes(task);
    assert!((2..=MAX_STARTS).contains(&crashes), "{crashes} crashes under {task}");
    assert_eq!(site.monitor.running(id(job)), 0);
}

/// Checks that all accepted jobs of those are completed.
fn check_completed(site: &Site, jobs: impl Iterator<Item = u64>) {
    let accepted = jobs.filter(|&job| site.accepted.contains_key(&id(job)));
    let states = accepted.map(|job| (job, site.state(job)));
    let others: Vec<_> = states.filter(|it| it.1 != Some(State::Completed)).collect();
    assert!(others.is_empty(), "not completed: {others:?}");
}

cases! {
    a_deadly_task_is_given_up;
    unanswered: ms(0),
    answered: ms(5),
    soon_after_its_start: ms(100),
    at_work: ms(400),
}

fn a_deadly_task_is_given_up(after: Duration) {
    let mut site = site(12);
    submit_short(&mut site, 100, ms(500));
    make_deadly(&mut site, name(1, 0, 1), after);
    site.submit(1, "oven", spec(vec![step(3, 500), Step { after: vec![0], ..step(2, 500) }]));
    let last = submit_short(&mut site, 200, ms(14_000));
    site.run(ms(4_000));
    check_failed(&site, 1, name(1, 0, 1));
    check_completed(&site, 100..105);
    check_completed(&site, 200..last);
    site.monitor.check();
}

cases! {
    the_next_leader_knows_the_crashes;
    leader_killed_with_the_start: ms(0),
    leader_killed_after_the_answer: ms(3),
    leader_killed_soon: ms(50),
    leader_killed_before_the_restart: ms(2_900),
    leader_killed_after_the_restart: ms(3_100),
}

/// The leader is killed `after` each crash under the task.
fn the_next_leader_knows_the_crashes(after: Duration) {
    let mut site = site(12);
    submit_short(&mut site, 100, ms(500));
    let deadly = name(1, 0, 0);
    make_deadly(&mut site, deadly, ms(0));
    site.submit(1, "oven", spec(vec![step(3, 500)]));
    let mut number = 200;
    let mut known = 0;
    let mut change_at = None;
    for _ in 0..30_000 {
        if site.now.as_millis().is_multiple_of(200) {
            site.submit(number, "oven", spec(vec![step(2, 500)]));
            number += 1;
        }
        site.run(ms(1));
        if site.monitor.crashes(deadly) > known {
            known = site.monitor.crashes(deadly);
            change_at = Some(site.now + after);
        }
        if change_at.is_some_and(|at| site.now >= at) {
            change_at = None;
            site.change_leader(false);
        }
    }
    site.run(ms(5_000));
    check_failed(&site, 1, deadly);
    let failed: Vec<u64> =
        (100..number).filter(|&n| site.state(n) == Some(State::Failed)).collect();
    assert!(failed.is_empty(), "{failed:?}");
    site.monitor.check();
}

#[test]
fn several_deadly_tasks_are_given_up_beside_other_work() {
    let mut site = site(20);
    submit_short(&mut site, 100, ms(500));
    for job in 1..=6 {
        make_deadly(&mut site, name(job, 0, 0), ms(20));
        site.submit(job, "oven", spec(vec![step(2, 500)]));
        let first = 200 + job * 100;
        let last = submit_short(&mut site, first, ms(700));
        assert!(last <= first + 100);
    }
    let last = submit_short(&mut site, 2_000, ms(12_000));
    site.run(ms(8_000));
    for job in 1..=6 {
        check_failed(&site, job, name(job, 0, 0));
    }
    check_completed(&site, 2_000..last);
    check_completed(&site, 100..105);
    for job in 1..=6 {
        check_completed(&site, 200 + job * 100..207 + job * 100);
    }
    site.monitor.check();
}

/// All tasks of a wide step crash their instances.
#[test]
fn a_wide_deadly_step_takes_few_instances_down() {
    let mut site = site(20);
    for member in 0..12 {
        make_deadly(&mut site, name(1, 0, member), ms(10));
    }
    site.submit(1, "oven", spec(vec![Step { anti_affinity: 1, ..step(12, 500) }]));
    let last = submit_short(&mut site, 200, ms(16_000));
    site.run(ms(4_000));
    assert_eq!(site.state(1), Some(State::Failed));
    check_completed(&site, 200..last);
    site.monitor.check();
}

/// Two racks lose power one after the other, so that many tasks have seen two crashes: none of them
/// caused one.
#[test]
fn the_loss_of_racks_fails_no_job() {
    let mut site = site(16);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 1_500;
    }
    let mut number = 100;
    for round in 0..40 {
        for _ in 0..3 {
            site.submit(number, "oven", spec(vec![step(4, 1_500)]));
            number += 1;
        }
        site.run(ms(200));
        if matches!(round, 5 | 8 | 11) {
            let now = site.now;
            let rack = format!("r{}", round % 4);
            for fake in &mut site.fakes {
                if fake.labels[1] == rack {
                    fake.crash(now, RESTART_TIME, &mut site.monitor);
                }
            }
        }
    }
    site.run(ms(10_000));
    check_completed(&site, 100..number);
    site.monitor.check();
}

#[test]
fn a_gang_with_a_deadly_member_is_given_up() {
    let mut site = site(12);
    make_deadly(&mut site, name(1, 0, 2), ms(10));
    site.submit(1, "oven", spec(vec![Step { gang: true, anti_affinity: 1, ..step(4, 500) }]));
    let last = submit_short(&mut site, 200, ms(16_000));
    site.run(ms(6_000));
    check_failed(&site, 1, name(1, 0, 2));
    check_completed(&site, 200..last);
    site.monitor.check();
}

#[test]
fn a_long_running_job_with_a_deadly_task_is_given_up() {
    let mut site = site(12);
    let long_running = Step { long_running: true, ..step(3, 500) };
    site.submit(1, "oven", spec(vec![long_running.clone()]));
    site.run(ms(3_000));
    make_deadly(&mut site, name(2, 0, 1), ms(10));
    site.submit(2, "oven", spec(vec![long_running]));
    let last = submit_short(&mut site, 200, ms(16_000));
    site.run(ms(6_000));
    check_failed(&site, 2, name(2, 0, 1));
    assert_eq!(site.state(1), Some(State::Active));
    assert_eq!(site.monitor.running(id(1)), 3, "it was beside a deadly task at most");
    check_completed(&site, 200..last);
    site.monitor.check();
}

/// The occurrences after the deadly one never start.
#[test]
fn a_repeated_job_with_a_deadly_task_is_given_up() {
    let mut site = site(6);
    let deadly = TaskName { occurrence: 1, ..name(1, 0, 0) };
    make_deadly(&mut site, deadly, ms(0));
    let steps = vec![step(1, 500)];
    site.submit(1, "oven", Spec { repeats: 20, interval_ms: 2_000, ..spec(steps) });
    site.run(ms(40_000));
    check_failed(&site, 1, deadly);
    site.monitor.check();
}

/// The leases expire before the instance is back, so that the task starts elsewhere before the
/// crash is known.
#[test]
fn a_deadly_task_is_given_up_when_instances_restart_late() {
    let mut site = site(12);
    let deadly = name(1, 0, 0);
    for fake in &mut site.fakes {
        fake.deadly.insert(deadly, Deadly { after: ms(10), restarts_after: ms(8_000) });
    }
    site.submit(1, "oven", spec(vec![step(2, 500)]));
    site.run(ms(60_000));
    assert_eq!(site.state(1), Some(State::Failed));
    assert!(site.monitor.crashes(deadly) <= 4, "{}", site.monitor.crashes(deadly));
    site.monitor.check();
}

/// Three of ten jobs have a deadly task for a while. The others are completed, and none stands still
/// beside free instances.
#[test]
fn work_goes_on_beside_many_deadly_jobs() {
    let mut site = site(12);
    let mut deadly = Vec::new();
    for number in 100..220 {
        if number % 10 < 3 {
            make_deadly(&mut site, name(number, 0, 0), ms(10));
            deadly.push(number);
        }
        site.submit(number, "oven", spec(vec![step(3, 500)]));
        site.run(ms(100));
    }
    site.run(ms(45_000));
    check_completed(&site, (100..220).filter(|number| !deadly.contains(number)));
    let accepted = deadly.iter().filter(|&&number| site.accepted.contains_key(&id(number)));
    let active: Vec<_> = accepted.filter(|&&n| site.state(n) == Some(State::Active)).collect();
    assert!(active.is_empty(), "{active:?}");
    site.monitor.check();
}

/// All instances and the leader lose power: what the next leader finds restarted, one instance after
/// the other, leaves no more suspects than two instances run tasks.
#[test]
fn a_loss_of_power_makes_few_suspects() {
    let mut site = site(16);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 1_500;
    }
    for number in 100..130 {
        site.submit(number, "oven", spec(vec![step(4, 1_500)]));
        site.run(ms(20));
    }
    site.run(ms(300));
    let now = site.now;
    site.crash_leader();
    for index in 0..site.fakes.len() {
        let down = ms(1_000 + 100 * index as u64);
        site.fakes[index].crash(now, down, &mut site.monitor);
    }
    site.run(ms(1_300));
    site.change_leader(false);
    let mut most = 0;
    for _ in 0..60 {
        site.run(ms(50));
        most = most.max(site.core().suspects());
    }
    assert!(most <= MAX_SUSPECTS, "{most} suspects");
    site.run(ms(8_000));
    check_completed(&site, 100..130);
    site.monitor.check();
}

cases! {
    a_long_running_job_survives_machines_that_go_down;
    when_it_has_run_for_a_second: ms(1_000),
    when_it_has_run_for_two_seconds: ms(2_000),
    when_it_has_run_for_long: ms(4_000),
}

/// Machines fail under a task of a long-running job one after the other, each when its run has lasted
/// for `age`.
fn a_long_running_job_survives_machines_that_go_down(age: Duration) {
    let mut site = site(7);
    site.submit(1, "oven", spec(vec![Step { long_running: true, ..step(1, 500) }]));
    for _ in 0..8 {
        for _ in 0..10_000 {
            if site.monitor.instance_of(name(1, 0, 0)).is_some() {
                break;
            }
            site.run(ms(1));
        }
        site.run(age);
        let instance = site.monitor.instance_of(name(1, 0, 0)).expect("it runs").to_owned();
        let index = site.fakes.iter().position(|fake| fake.id == instance).expect("its instance");
        let now = site.now;
        site.fakes[index].turn_off(now, RESTART_TIME, &mut site.monitor);
        site.run(RESTART_TIME);
        assert_eq!(site.state(1), Some(State::Active));
    }
    site.monitor.check();
}
