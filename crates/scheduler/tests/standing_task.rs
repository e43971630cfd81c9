//! No accepted task is without a run for ever, whatever phase it is in when a fault comes.

mod site;

use cases::cases;
use scheduler::job::Step;
use site::Fake;
use site::Losses;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the long-running job; jobs that end have lower numbers.
const LONG_RUNNING: u64 = 1_000_000;

/// Three data centres of three instances for short tasks and one for others each.
fn site(seed: u64) -> Site {
    let fakes = (0..12).map(|n| {
        let service = if n < 9 { "oven" } else { "till" };
        Fake::new(&format!("i-{n}"), service, &format!("r{}", n % 3))
    });
    let mut site = Site::new(&["oven", "till"], fakes.collect(), seed);
    site.run(ms(300));
    let serving = Step { long_running: true, anti_affinity: 1, ..step(3, 500) };
    site.submit(LONG_RUNNING, "oven", spec(vec![serving]));
    site.run(ms(300));
    site
}

/// Three steps, the last of which has one large task an instance.
fn three_steps(site: &mut Site, number: u64) {
    let width = 1 + site.random(6) as u32;
    let (first, second) = (1 + site.random(3) as u32, 1 + site.random(4) as u32);
    let second = Step { after: vec![0], ..step(second, 500) };
    let third = Step { after: vec![1], anti_affinity: 1, cpu: 4_000, ..step(width, 500) };
    site.submit(number, "oven", spec(vec![step(first, 500), second, third]));
}

cases! {
    random_days;
    after_a_power_loss_1: 1..=6,
    after_a_power_loss_2: 7..=12,
    after_a_power_loss_3: 13..=18,
    starts_reach_a_restarted_instance: 1_475..=1_475,
    a_late_start_reaches_a_renamed_instance_1: 2_040..=2_040,
    a_late_start_reaches_a_renamed_instance_2: 2_592..=2_592,
}

/// Days with a data centre that is cut off and a power loss of all leaders, among random losses of
/// messages, hung runs and restarts.
fn random_days(seeds: std::ops::RangeInclusive<u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        let faults = random_day(seed);
        if !faults.is_empty() {
            println!("seed {seed}: {} faults: {:#?}", faults.len(), &faults[..faults.len().min(3)]);
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}

fn random_day(seed: u64) -> Vec<String> {
    let mut site = site(seed);
    site.late_percent = [0, 0, 5, 20][site.random(4) as usize];
    site.losses = Losses {
        stops: [0, 20, 60, 100][site.random(4) as usize],
        heartbeats: [0, 0, 10, 30][site.random(4) as usize],
        writes: [0, 0, 10, 50][site.random(4) as usize],
    };
    if site.random(3) == 0 {
        site.write_time = ms(60);
    }
    let cut_from = 5 + site.random(10);
    let power_lost_at = 20 + site.random(15);
    let mut number = 0;
    for round in 0..50 {
        let now = site.now;
        if round == cut_from {
            let until = now + ms(1_000 + site.random(6_000));
            let data_centre = site.random(3) as usize;
            for fake in site.fakes.iter_mut().skip(data_centre).step_by(3) {
                fake.unreachable_until = until;
            }
        }
        if round == power_lost_at {
            site.lose_power();
            let gone = ms(300 + site.random(1_700));
            site.run(gone);
            site.change_leader(false);
            if site.random(2) == 0 {
                let after = ms(20 + site.random(2_000));
                site.run(after);
                if site.random(2) == 0 {
                    site.lose_power();
                }
                site.change_leader(false);
            }
        }
        if site.random(2) == 0 {
            number += 1;
            three_steps(&mut site, number);
        }
        disturb(&mut site);
        let pause = ms(50 + site.random(300));
        site.run(pause);
    }
    // Calls count again some seconds after the last fault.
    for fake in &mut site.fakes {
        fake.unreachable_until = fake.unreachable_until.min(site.now);
    }
    site.losses = Losses { stops: site.losses.stops, ..Losses::default() };
    site.run(ms(3_000));
    site.settle()
}

fn disturb(site: &mut Site) {
    let victim = site.random(12) as usize;
    let now = site.now;
    let after = ms(200 + site.random(2_000));
    match site.random(60) {
        0 | 1 => site.fakes[victim].hang_runs(),
        2 => site.fakes[victim].hangs = true,
        3 | 4 => site.fakes.iter_mut().for_each(|fake| fake.hangs = false),
        5 => site.fakes[victim].crash(now, after, &mut site.monitor),
        6 => site.restart_earlier(victim, after),
        7 => {
            let service = if site.random(2) == 0 { "oven" } else { "till" };
            site.rename(victim, service, after);
        }
        8 => site.fakes[victim].unreachable_until = now + after * 3,
        9 => site.fakes[victim].unlisted_until = now + after * 3,
        10 => site.store_down_until = now + after,
        11 => site.fakes[victim].ignores_starts = true,
        12 | 13 => site.fakes.iter_mut().for_each(|fake| fake.ignores_starts = false),
        14 => site.change_leader(false),
        15 => site.fakes[victim].draining = true,
        16 => site.fakes.iter_mut().for_each(|fake| fake.draining = false),
        _ => {}
    }
}

/// One instance on which all tasks of job 1 run, beside two others.
fn running_on_one(tasks: u32) -> Site {
    let fakes = (0..3).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    for fake in &mut site.fakes[1..] {
        fake.draining = true;
    }
    site.run(ms(600));
    site.submit(1, "oven", spec(vec![step(tasks, 500)]));
    site.run(ms(100));
    assert_eq!(site.fakes[0].runs() as u32, tasks);
    for fake in &mut site.fakes[1..] {
        fake.draining = false;
    }
    site.run(ms(200));
    site
}

/// The only stop command for a hung run is lost.
#[test]
fn a_hung_run_is_stopped_again() {
    let mut site = running_on_one(2);
    site.fakes[0].hang_runs();
    site.losses.stops = 100;
    site.run(ms(3_000));
    site.settle_and_check();
}

/// Each heartbeat of a restarted instance shows a lower incarnation than the known one.
#[test]
fn tasks_leave_an_instance_whose_clock_was_set_back() {
    let mut site = running_on_one(2);
    site.restart_earlier(0, ms(300));
    site.settle_and_check();
}

/// Nothing else runs on the other instances, so that only this one has room.
#[test]
fn an_instance_whose_clock_was_set_back_takes_tasks_again() {
    let mut site = running_on_one(1);
    site.restart_earlier(0, ms(300));
    site.run(ms(12_000));
    for fake in &mut site.fakes[1..] {
        fake.draining = true;
    }
    site.run(ms(600));
    site.submit(2, "oven", spec(vec![step(2, 500)]));
    site.settle_and_check();
}

/// Each stop command without an answer cuts short the heartbeat that would have shown the silence.
#[test]
fn unanswered_stops_do_not_hide_that_an_instance_is_silent() {
    let mut site = running_on_one(1);
    site.fakes[0].default_duration_ms = 60_000;
    for fake in &mut site.fakes[1..] {
        fake.draining = true;
    }
    site.run(ms(600));
    site.submit(2, "oven", spec(vec![step(4, 500)]));
    site.submit(3, "oven", spec(vec![step(2, 500)]));
    site.run(ms(200));
    assert!(site.fakes[0].runs() >= 6);
    for fake in &mut site.fakes[1..] {
        fake.draining = false;
    }
    site.run(ms(600));
    let now = site.now;
    site.monitor.cancel(now, id(2));
    site.core().cancel(now, id(2));
    site.fakes[0].crash(now, ms(60_000), &mut site.monitor);
    site.settle_and_check();
}

/// Heartbeat calls neither return nor fail.
#[test]
fn tasks_leave_an_instance_whose_heartbeats_do_not_return() {
    let mut site = running_on_one(2);
    site.fakes[0].hang_runs();
    site.fakes[0].mutes_heartbeats = true;
    site.settle_and_check();
}

/// A start command waits to be sent until its task has been given up.
#[test]
fn a_start_of_a_task_that_was_given_up_is_not_sent() {
    let mut site = running_on_one(1);
    site.run(ms(2_000));
    let now = site.now;
    site.submit(2, "oven", spec(vec![step(1, 500)]));
    site.write_at_once();
    site.core().place_tasks(now);
    site.write_at_once();
    let commands = site.core().take_commands();
    let start = commands.first().expect("a start command").clone();
    assert!(site.core().confirm_start(now, &start));
    site.core().mark_unresponsive(now, start.instance, "no answer");
    let later = now + ms(20_000);
    site.core().tick(later);
    assert!(!site.core().confirm_start(later, &start), "its leases have expired");
}

/// Searches the days of other seeds, `STANDING_SEEDS=FROM..TO`, for work that stands still. Prints other
/// rules that were broken.
#[test]
fn after_a_power_loss_from_other_seeds() {
    let seeds = std::env::var("STANDING_SEEDS").unwrap_or_else(|_| "19..21".to_owned());
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    search(from.parse().expect("a number")..=to.parse().expect("a number"));
}

fn search(seeds: std::ops::RangeInclusive<u64>) {
    let (mut standing, mut others) = (Vec::new(), Vec::new());
    for seed in seeds {
        for fault in random_day(seed) {
            let stands = fault.contains("stood still") || fault.contains("not ended");
            let kind = if stands { &mut standing } else { &mut others };
            kind.push((seed, fault));
        }
    }
    println!("other rules: {others:#?}");
    assert!(standing.is_empty(), "{standing:#?}");
}
