//! Machines that change their pool and that are maintained, around the scheduler in virtual time.

mod site;

use std::collections::BTreeSet;
use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use scheduler::job::Step;
use scheduler::machine::Machine;
use scheduler::machine::Operation;
use scheduler::machine::Outcome;
use scheduler::machine::State;
use scheduler::machine::Wave;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// An instance that is down for so long has left the site with its machine.
const GONE: Duration = Duration::from_secs(1_000);

/// Pools of 32-core instances, each on a machine of its own; the last pool is switched off.
fn site(pools: &[(&str, usize)]) -> Site {
    let mut fakes = Vec::new();
    for (pool, count) in pools {
        for place in 0..*count {
            let mut fake = Fake::new(&format!("{pool}-{place}"), pool, &format!("r{}", place % 3));
            fake.capacity.cpu = 32_000;
            fake.capacity.memory = 64_000;
            fakes.push(fake);
        }
    }
    let names: Vec<&str> = pools.iter().map(|(name, _)| *name).collect();
    let mut site = Site::new(&names, fakes, 3);
    site.lists_machines = false;
    if let Some(spare) = site.config.services.get_mut("spare") {
        spare.standby = true;
    }
    site.config.version += 1;
    let config = site.config.clone();
    site.core().configure(config);
    site.run(ms(200));
    site
}

fn machines(site: &Site) -> Vec<Machine> {
    let there = site.fakes.iter().filter(|fake| fake.dead_until < site.now + GONE);
    let up = there.map(|fake| Machine {
        host: format!("m-{}", fake.id),
        pool: fake.service.clone(),
        state: State::Up,
        instance: fake.id.clone(),
        cpu: 32_000,
    });
    up.collect()
}

/// Lets time pass with machines that do what they are told at once, and tells all calls.
fn work(site: &mut Site, time: Duration) -> Vec<(Time, Operation)> {
    let mut calls = Vec::new();
    let end = site.now + time;
    while site.now < end {
        let now = site.now;
        let listed = machines(site);
        site.core().apply_machines(now, now, listed);
        for call in site.core().machine_calls(now) {
            calls.push((now, call.operation.clone()));
            site.core().apply_operation_result(now, &call.operation, Outcome::Accepted);
            obey(site, &call.operation);
        }
        // What is about to be called goes into the store first.
        let calls = site.core().take_call_hosts(10);
        if !calls.is_empty() {
            site.core().begin_write(30);
            site.core().finish_write(now);
        }
        site.run(ms(100));
    }
    calls
}

fn obey(site: &mut Site, duty: &Operation) {
    let now = site.now;
    let found = site.fakes.iter().position(|fake| format!("m-{}", fake.id) == duty.host());
    let place = found.expect("the machine exists");
    let after = if matches!(duty, Operation::Move { .. }) { ms(1_500) } else { ms(2_000) };
    let fake = &mut site.fakes[place];
    fake.crash(now, after, &mut site.ledger);
    if let Operation::Move { pool, .. } = duty {
        fake.service.clone_from(pool);
    }
}

fn wave(hosts: &[&str], cap: usize) -> Wave {
    let hosts = hosts.iter().map(|host| (*host).to_owned()).collect();
    Wave { number: 1, hosts, duration: Duration::from_secs(20), max_down: cap }
}

#[test]
fn machines_go_where_a_queue_peaks() {
    let mut site = site(&[("oven", 2), ("till", 8)]);
    work(&mut site, ms(500));
    for number in 0..40 {
        site.submit(number, "oven", spec(vec![step(8, 800)]));
    }
    let calls = work(&mut site, ms(1_000));
    let moves = calls
        .iter()
        .filter(|(_, duty)| matches!(duty, Operation::Move { pool, .. } if pool == "oven"));
    assert!(moves.count() >= 4, "{calls:?}");
    site.ledger.check();
}

#[test]
fn machines_without_work_are_switched_off_but_a_reserve() {
    let mut site = site(&[("oven", 8), ("spare", 1)]);
    let calls = work(&mut site, ms(12_000));
    let off = calls
        .iter()
        .filter(|(_, duty)| matches!(duty, Operation::Move { pool, .. } if pool == "spare"));
    let off = off.count();
    assert!((5..8).contains(&off), "{off} of 8 were switched off: {calls:#?}");
}

#[test]
fn a_machine_that_disappears_while_idle_hurts_nothing() {
    let mut site = site(&[("oven", 8), ("spare", 1)]);
    work(&mut site, ms(1_000));
    let now = site.now;
    site.fakes[1].crash(now, GONE * 2, &mut site.ledger);
    work(&mut site, ms(6_000));
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(2_000));
    assert_eq!(site.state(1), Some(scheduler::job::State::Completed));
}

#[test]
fn a_machine_with_lasting_work_stays_in_its_pool() {
    let mut site = site(&[("oven", 3), ("spare", 1)]);
    let lasting = Step { long_running: true, anti_affinity: 1, ..step(3, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    let calls = work(&mut site, ms(8_000));
    assert_eq!(calls, Vec::new());
}

#[test]
fn work_of_a_crashed_instance_goes_on_as_soon_as_its_machine_is_down() {
    let mut site = site(&[("oven", 2)]);
    let lasting = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    let lost = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let now = site.now;
    site.fakes[lost].crash(now, ms(60_000), &mut site.ledger);
    site.run(ms(2_200));
    assert_eq!(site.ledger.running(id(1)), 0, "it may still run for all we know");
    let mut listed = machines(&site);
    listed[lost].state = State::Down;
    listed[lost].instance.clear();
    let now = site.now;
    site.core().apply_machines(now, now, listed);
    site.run(ms(200));
    assert_eq!(site.ledger.running(id(1)), 1);
    site.ledger.check();
}

#[test]
fn work_of_a_silent_instance_waits_while_its_machine_is_up() {
    let mut site = site(&[("oven", 2)]);
    let lasting = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    let cut = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    site.fakes[cut].cut_until = site.now + ms(60_000);
    site.run(ms(2_200));
    let listed = machines(&site);
    let now = site.now;
    site.core().apply_machines(now, now, listed);
    site.run(ms(200));
    assert_eq!(site.fakes[1 - cut].runs(), 0);
    site.ledger.check();
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
    let calls = work(&mut site, ms(15_000));
    assert_eq!(calls.len(), 4, "{calls:?}");
    for (place, (at, _)) in calls.iter().enumerate() {
        let down = calls[..place].iter().filter(|(before, _)| at.since(*before) < ms(2_000));
        assert!(down.count() < cap, "{calls:?}");
    }
    assert!(site.core().waves().all(|wave| wave.completed));
}

#[test]
fn a_wave_ends_no_more_of_a_step_than_it_may_miss() {
    let mut site = site(&[("oven", 6)]);
    let lasting = Step { long_running: true, anti_affinity: 2, max_unavailable: 1, ..step(5, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    work(&mut site, ms(1_000));
    assert_eq!(site.ledger.running(id(1)), 5);
    let now = site.now;
    let hosts: Vec<String> = (0..6).map(|place| format!("m-oven-{place}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    site.core().set_waves(now, vec![wave(&hosts, 6)]);
    let mut least = 5;
    let mut begun = BTreeSet::new();
    for _ in 0..200 {
        for (_, duty) in work(&mut site, ms(100)) {
            begun.insert(duty.host().to_owned());
        }
        least = least.min(site.ledger.running(id(1)));
    }
    assert!(least >= 4, "only {least} of 5 at work");
    assert_eq!(begun.len(), 6, "{begun:?}");
    site.ledger.check();
}

#[test]
fn a_successor_leaves_alone_a_machine_that_was_called_lately() {
    let mut site = site(&[("oven", 1)]);
    let now = site.now;
    site.core().hold_machine("m-oven-0", now + ms(4_000));
    site.core().set_waves(now, vec![wave(&["m-oven-0"], 1)]);
    assert_eq!(work(&mut site, ms(3_500)), Vec::new());
    assert_eq!(work(&mut site, ms(1_500)).len(), 1);
}

#[test]
fn a_machine_is_written_down_before_it_is_called() {
    let mut site = site(&[("oven", 1)]);
    let now = site.now;
    let listed = machines(&site);
    site.core().apply_machines(now, now, listed);
    site.core().set_waves(now, vec![wave(&["m-oven-0"], 1)]);
    assert_eq!(site.core().machine_calls(now), Vec::new());
    assert!(site.core().is_dirty(now));
    assert_eq!(site.core().take_call_hosts(10), vec!["m-oven-0".to_owned()]);
    assert_eq!(site.core().machine_calls(now), Vec::new());
    site.core().begin_write(30);
    site.core().finish_write(now);
    assert_eq!(site.core().machine_calls(now).len(), 1);
}

/// The platform accepts a call again whose work was done before, and then nothing ends.
#[test]
fn an_accepted_call_is_no_proof_that_anything_has_ended() {
    let mut site = site(&[("oven", 2)]);
    let lasting = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    work(&mut site, ms(1_000));
    let place = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let host = format!("m-{}", site.fakes[place].id);
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
            site.core().begin_write(30);
            site.core().finish_write(now);
        }
        site.run(ms(100));
    }
    site.ledger.check();
    assert_eq!(site.fakes[place].runs(), 1);
    assert!(site.core().waves().all(|wave| wave.completed));
}

#[test]
fn a_call_without_answer_is_made_again() {
    let mut site = site(&[("oven", 1)]);
    let now = site.now;
    let duty = Operation::Maintain { host: "m-oven-0".to_owned(), wave: 1 };
    site.core().set_waves(now, vec![wave(&["m-oven-0"], 1)]);
    let mut calls = 0;
    for _ in 0..12 {
        let now = site.now;
        let listed = machines(&site);
        site.core().apply_machines(now, now, listed);
        for call in site.core().machine_calls(now) {
            assert_eq!(call.operation, duty);
            calls += 1;
            site.core().apply_operation_result(now, &call.operation, Outcome::Unknown);
        }
        if !site.core().take_call_hosts(10).is_empty() {
            site.core().begin_write(30);
            site.core().finish_write(now);
        }
        site.run(ms(100));
    }
    assert!(calls >= 2, "{calls} calls");
    assert!(site.core().waves().all(|wave| !wave.completed));
}
