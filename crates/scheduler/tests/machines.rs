//! Machines that move between pools and undergo maintenance, on a simulated site in virtual time.

mod site;

use std::collections::BTreeSet;
use std::time::Duration;

use cases::cases;
use scheduler::instance::Capacity;
use scheduler::job::Step;
use scheduler::machine::Operation;
use scheduler::machine::Outcome;
use scheduler::machine::State;
use scheduler::machine::Wave;
use site::LIMITS;
use site::Site;
use site::id;
use site::ms;
use site::pools::GONE_AFTER;
use site::pools::machines;
use site::pools::run_with_machines;
use site::pools::site;
use site::spec;
use site::step;

fn wave(hosts: &[&str], cap: usize) -> Wave {
    let hosts = hosts.iter().map(|host| (*host).to_owned()).collect();
    Wave { number: 1, hosts, duration: Duration::from_secs(20), max_down: cap }
}

#[test]
fn machines_move_to_the_pool_under_load() {
    let mut site = site(&[("oven", 2), ("till", 8)]);
    run_with_machines(&mut site, ms(500));
    for number in 0..40 {
        site.submit(number, "oven", spec(vec![step(8, 800)]));
    }
    let calls = run_with_machines(&mut site, ms(1_000));
    let moves = calls.iter().filter(
        |(_, operation)| matches!(operation, Operation::Move { pool, .. } if pool == "oven"),
    );
    assert!(moves.count() >= 4, "{calls:?}");
    site.monitor.check();
}

#[test]
fn idle_machines_are_switched_off_except_a_reserve() {
    let mut site = site(&[("oven", 8), ("spare", 1)]);
    let calls = run_with_machines(&mut site, ms(12_000));
    let off = calls.iter().filter(
        |(_, operation)| matches!(operation, Operation::Move { pool, .. } if pool == "spare"),
    );
    let off = off.count();
    assert!((5..8).contains(&off), "{off} of 8 machines were switched off: {calls:#?}");
}

#[test]
fn an_idle_machine_that_disappears_does_no_harm() {
    let mut site = site(&[("oven", 8), ("spare", 1)]);
    run_with_machines(&mut site, ms(1_000));
    let now = site.now;
    site.fakes[1].crash(now, GONE_AFTER * 2, &mut site.monitor);
    run_with_machines(&mut site, ms(6_000));
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(2_000));
    assert_eq!(site.state(1), Some(scheduler::job::State::Completed));
}

#[test]
fn a_machine_with_long_running_tasks_stays_in_its_pool() {
    let mut site = site(&[("oven", 3), ("spare", 1)]);
    let long_running = Step { long_running: true, anti_affinity: 1, ..step(3, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    let calls = run_with_machines(&mut site, ms(8_000));
    assert_eq!(calls, Vec::new());
}

#[test]
fn tasks_of_a_crashed_instance_restart_once_its_machine_is_down() {
    let mut site = site(&[("oven", 2)]);
    let long_running = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    let lost = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let now = site.now;
    site.fakes[lost].crash(now, ms(60_000), &mut site.monitor);
    site.run(ms(2_200));
    assert_eq!(site.monitor.running(id(1)), 0, "its lease may not have expired yet");
    let mut listed = machines(&site);
    listed[lost].state = State::Down;
    listed[lost].instance.clear();
    let now = site.now;
    site.core().apply_machines(now, now, listed);
    site.run(ms(200));
    assert_eq!(site.monitor.running(id(1)), 1);
    site.monitor.check();
}

#[test]
fn tasks_of_an_unresponsive_instance_wait_while_its_machine_is_up() {
    let mut site = site(&[("oven", 2)]);
    let long_running = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    let unreachable =
        site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    site.fakes[unreachable].unreachable_until = site.now + ms(60_000);
    site.run(ms(2_200));
    let listed = machines(&site);
    let now = site.now;
    site.core().apply_machines(now, now, listed);
    site.run(ms(200));
    assert_eq!(site.fakes[1 - unreachable].runs(), 0);
    site.monitor.check();
}

cases! {
    waves_keep_their_cap;
    one_at_once: 1,
    two_at_once: 2,
}

fn waves_keep_their_cap(cap: usize) {
    let mut site = site(&[("oven", 4)]);
    let now = site.now;
    let hosts = ["m-oven-0", "m-oven-1", "m-oven-2", "m-oven-3"];
    site.core().set_waves(now, vec![wave(&hosts, cap)]);
    let calls = run_with_machines(&mut site, ms(15_000));
    assert_eq!(calls.len(), 4, "{calls:?}");
    for (index, (at, _)) in calls.iter().enumerate() {
        let down = calls[..index].iter().filter(|(before, _)| at.since(*before) < ms(2_000));
        assert!(down.count() < cap, "{calls:?}");
    }
    assert!(site.core().waves().all(|wave| wave.completed));
}

#[test]
fn a_wave_respects_max_unavailable() {
    let mut site = site(&[("oven", 6)]);
    let long_running =
        Step { long_running: true, anti_affinity: 2, max_unavailable: 1, ..step(5, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    run_with_machines(&mut site, ms(1_000));
    assert_eq!(site.monitor.running(id(1)), 5);
    let now = site.now;
    let hosts: Vec<String> = (0..6).map(|n| format!("m-oven-{n}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    site.core().set_waves(now, vec![wave(&hosts, 6)]);
    let mut min_running = 5;
    let mut begun = BTreeSet::new();
    for _ in 0..200 {
        for (_, operation) in run_with_machines(&mut site, ms(100)) {
            begun.insert(operation.host().to_owned());
        }
        min_running = min_running.min(site.monitor.running(id(1)));
    }
    assert!(min_running >= 4, "only {min_running} of 5 tasks run");
    assert_eq!(begun.len(), 6, "{begun:?}");
    site.monitor.check();
}

#[test]
fn the_next_leader_waits_before_it_calls_a_machine_again() {
    let mut site = site(&[("oven", 1)]);
    let now = site.now;
    site.core().hold_machine("m-oven-0", now + ms(4_000));
    site.core().set_waves(now, vec![wave(&["m-oven-0"], 1)]);
    assert_eq!(run_with_machines(&mut site, ms(3_500)), Vec::new());
    assert_eq!(run_with_machines(&mut site, ms(1_500)).len(), 1);
}

#[test]
fn a_call_is_recorded_before_it_is_made() {
    let mut site = site(&[("oven", 1)]);
    let now = site.now;
    let listed = machines(&site);
    site.core().apply_machines(now, now, listed);
    site.core().set_waves(now, vec![wave(&["m-oven-0"], 1)]);
    assert_eq!(site.core().machine_calls(now), Vec::new());
    assert!(site.core().is_dirty(now));
    assert_eq!(site.core().take_call_hosts(10), vec!["m-oven-0".to_owned()]);
    assert_eq!(site.core().machine_calls(now), Vec::new());
    site.core().begin_write(LIMITS);
    site.core().finish_write(now);
    assert_eq!(site.core().machine_calls(now).len(), 1);
}

/// The platform also accepts a call that it has already carried out, and then ends nothing.
#[test]
fn an_accepted_call_does_not_prove_that_runs_have_ended() {
    let mut site = site(&[("oven", 2)]);
    let long_running = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    run_with_machines(&mut site, ms(1_000));
    let index = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let host = format!("m-{}", site.fakes[index].id);
    let now = site.now;
    site.core().set_waves(now, vec![wave(&[&host], 1)]);
    for _ in 0..40 {
        let now = site.now;
        let listed = machines(&site);
        site.core().apply_machines(now, now, listed);
        for call in site.core().machine_calls(now) {
            site.core().apply_operation_result(now, &call.operation, Outcome::Accepted);
        }
        if !site.core().take_call_hosts(10).is_empty() {
            site.core().begin_write(LIMITS);
            site.core().finish_write(now);
        }
        site.run(ms(100));
    }
    site.monitor.check();
    assert_eq!(site.fakes[index].runs(), 1);
    assert!(site.core().waves().all(|wave| wave.completed));
}

#[test]
fn an_unanswered_call_is_retried() {
    let mut site = site(&[("oven", 1)]);
    let now = site.now;
    let operation = Operation::Maintain { host: "m-oven-0".to_owned(), wave: 1 };
    site.core().set_waves(now, vec![wave(&["m-oven-0"], 1)]);
    let mut calls = 0;
    for _ in 0..12 {
        let now = site.now;
        let listed = machines(&site);
        site.core().apply_machines(now, now, listed);
        for call in site.core().machine_calls(now) {
            assert_eq!(call.operation, operation);
            calls += 1;
            site.core().apply_operation_result(now, &call.operation, Outcome::Unknown);
        }
        if !site.core().take_call_hosts(10).is_empty() {
            site.core().begin_write(LIMITS);
            site.core().finish_write(now);
        }
        site.run(ms(100));
    }
    assert!(calls >= 2, "{calls} calls");
    assert!(site.core().waves().all(|wave| !wave.completed));
}

/// A burst of one queue ends in a backlog of late work while the burst of another one begins: the
/// machines move to where work can still be on time, and don't wait until the backlog is gone.
#[test]
fn late_work_yields_machines_to_work_that_can_be_on_time() {
    let mut site = site(&[("oven", 10), ("till", 2)]);
    run_with_machines(&mut site, ms(500));
    for number in 0..500 {
        site.submit(number, "oven", spec(vec![step(8, 800)]));
    }
    run_with_machines(&mut site, ms(4_000));
    for number in 1_000..1_040 {
        site.submit(number, "till", spec(vec![step(8, 800)]));
    }
    let calls = run_with_machines(&mut site, ms(2_000));
    let moves = calls.iter().filter(
        |(_, operation)| matches!(operation, Operation::Move { pool, .. } if pool == "till"),
    );
    assert!(moves.count() >= 4, "{calls:?}");
    site.monitor.check();
}

/// A new leader gets the requests of all who waited for one, within a second: they are more than its
/// usual load, but fit into their pool. It must not take them for a growth that goes on.
#[test]
fn callers_that_waited_for_a_leader_move_no_machines() {
    let mut site = site(&[("oven", 10), ("till", 10)]);
    run_with_machines(&mut site, ms(500));
    site.change_leader(false);
    let mut calls = Vec::new();
    for number in 0..30 {
        site.submit(number, "oven", spec(vec![step(8, 800)]));
        if number % 3 == 2 {
            calls.extend(run_with_machines(&mut site, ms(100)));
        }
    }
    calls.extend(run_with_machines(&mut site, ms(1_500)));
    assert!(calls.is_empty(), "{calls:?}");
    site.monitor.check();
}

/// More machines than needed are on their way to a pool whose own are all at work. Until they are
/// there, the pool gives none away, however much another pool lacks.
#[test]
fn a_pool_that_waits_for_machines_gives_none_away() {
    // Two machines are what each pool keeps.
    let others = ["bar", "dairy", "cellar", "larder"].map(|pool| (pool, 2));
    let pools = [&[("oven", 4), ("till", 10), ("grill", 2)], others.as_slice()].concat();
    let mut site = site(&pools);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 3_000;
    }
    run_with_machines(&mut site, ms(500));
    for number in 0..16 {
        site.submit(number, "oven", spec(vec![step(16, 3_000)]));
    }
    let calls = run_with_machines(&mut site, ms(1_200));
    assert_eq!(calls.len(), 8, "{calls:?}");
    for number in 100..112 {
        site.submit(number, "grill", spec(vec![step(16, 800)]));
    }
    for _ in 0..4 {
        let calls = run_with_machines(&mut site, ms(100));
        let reserved = site.core().instances().filter(|(_, instance)| instance.reserved);
        let given: Vec<&str> = reserved.map(|(_, instance)| instance.report.id.as_str()).collect();
        assert!(given.iter().all(|id| !id.starts_with("oven-")), "{given:?}, {calls:?}");
    }
    site.monitor.check();
}

/// A leader in a data centre that was cut off is replaced; the next leader sees a task done on an
/// instance, and moves the machine. When the cut heals, the old leader reads the machine list before
/// it learns that it was replaced: it must not start the task again before a write has succeeded.
#[test]
fn tasks_of_a_vanished_instance_do_not_restart_without_a_write() {
    let mut site = site(&[("oven", 2)]);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 60_000;
    }
    site.submit(1, "oven", spec(vec![step(1, 60_000)]));
    site.run(ms(1_000));
    let lost = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let now = site.now;
    site.store_down_until = now + ms(10_000);
    site.fakes[lost].crash(now, ms(60_000), &mut site.monitor);
    site.run(ms(2_200));
    let mut listed = machines(&site);
    listed[lost].instance.clear();
    let now = site.now;
    site.core().apply_machines(now, now, listed);
    site.run(ms(2_000));
    assert_eq!(site.monitor.starts, 1, "starts before the store has answered");
    site.run(ms(8_000));
    assert_eq!(site.monitor.starts, 2, "starts once the store has answered");
    site.monitor.check();
}

/// Number of the first long-running job that needs nearly all memory of an instance.
const LARGE: u64 = 1_000_000;

/// Like [`site`], with a long-running task that needs nearly all memory on each of the first `large`
/// instances of pool `oven`.
fn site_with_large_tasks(pools: &[(&str, usize)], large: u64) -> Site {
    let mut site = site(pools);
    for number in 0..large {
        submit_large(&mut site, number);
    }
    run_with_machines(&mut site, ms(500));
    let running = (0..large).map(|number| site.monitor.running(id(LARGE + number)));
    assert_eq!(running.sum::<usize>(), large as usize, "large tasks that run");
    site
}

fn submit_large(site: &mut Site, number: u64) {
    let large = Step { long_running: true, memory: 60_000, ..step(1, 500) };
    site.submit(LARGE + number, "oven", spec(vec![large]));
}

cases! {
    a_machine_comes_for_a_task_that_finds_no_memory;
    from_standby: &[("oven", 2), ("spare", 2)],
    from_another_pool: &[("oven", 2), ("till", 6)],
}

/// All CPU of the pool is free, and none of its memory.
fn a_machine_comes_for_a_task_that_finds_no_memory(pools: &[(&str, usize)]) {
    let mut site = site_with_large_tasks(pools, 2);
    submit_large(&mut site, 2);
    let calls = run_with_machines(&mut site, ms(6_000));
    assert_eq!(site.monitor.running(id(LARGE + 2)), 1, "it waits for a machine: {calls:?}");
    let calls = [calls, run_with_machines(&mut site, ms(10_000))].concat();
    let in_pool = site.fakes.iter().filter(|fake| fake.service == "oven").count();
    assert_eq!(in_pool, 3, "machines of the pool after {calls:?}");
}

/// The pool keeps the machine that a task needs, although it needs little CPU.
#[test]
fn a_planned_move_yields_to_a_task_that_fits_on_its_machine_only() {
    let mut site = site_with_large_tasks(&[("oven", 3), ("spare", 1)], 2);
    let is_reserved = |site: &mut Site| site.core().instances().any(|(_, it)| it.reserved);
    for _ in 0..100 {
        if is_reserved(&mut site) {
            break;
        }
        let now = site.now;
        let listed = machines(&site);
        site.core().apply_machines(now, now, listed);
        site.core().machine_calls(now);
        site.run(ms(100));
    }
    assert!(is_reserved(&mut site), "the idle machine is to be switched off");
    submit_large(&mut site, 2);
    let calls = run_with_machines(&mut site, ms(1_000));
    assert_eq!(site.monitor.running(id(LARGE + 2)), 1, "its machine leaves: {calls:?}");
}

/// A machine that the pool can't use is not fetched again and again for a task that fits nowhere.
#[test]
fn no_machines_come_for_a_task_that_fits_on_none() {
    let mut site = site_with_large_tasks(&[("oven", 2), ("till", 4)], 0);
    let huge = Step { long_running: true, memory: 100_000, ..step(1, 500) };
    site.submit(LARGE, "oven", spec(vec![huge]));
    let calls = run_with_machines(&mut site, ms(10_000));
    assert_eq!(calls, Vec::new());
}

/// Room that a task doesn't take because it has failed there is no lack of machines.
#[test]
fn no_machines_come_for_a_task_that_fails_everywhere() {
    let mut site = site_with_large_tasks(&[("oven", 2), ("till", 4)], 0);
    for fake in &mut site.fakes {
        fake.impossible.insert(id(LARGE));
    }
    submit_large(&mut site, 0);
    let calls = run_with_machines(&mut site, ms(10_000));
    assert!(site.monitor.starts > 2, "{} starts", site.monitor.starts);
    assert_eq!(calls, Vec::new());
}

/// Machines come from the standby pool for a pool whose instances have all shrunk, although known
/// instances have less than half of what the machines are listed with.
#[test]
fn machines_come_for_a_pool_that_has_shrunk() {
    let mut site = site(&[("oven", 4), ("spare", 4)]);
    run_with_machines(&mut site, ms(500));
    let now = site.now;
    for fake in &mut site.fakes[..4] {
        let shrunk = Capacity { cpu: 4_000, ..fake.capacity };
        fake.resize(now, shrunk, Duration::ZERO);
    }
    site.list_now();
    run_with_machines(&mut site, ms(300));
    for number in 0..20 {
        site.submit(number, "oven", spec(vec![step(8, 800)]));
    }
    let calls = run_with_machines(&mut site, ms(4_000));
    let moves = calls.iter().filter(|(_, operation)| matches!(operation, Operation::Move { .. }));
    assert!(moves.count() >= 1, "{calls:?}");
    assert!(calls.len() <= 4, "no machine moves to and fro: {calls:?}");
    site.monitor.check();
}
