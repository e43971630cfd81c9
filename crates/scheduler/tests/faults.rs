//! Faults of instances, of the store and of leaders on a simulated site in virtual time.

mod site;

use cases::cases;
use scheduler::core::Cancellation;
use scheduler::core::Limits;
use scheduler::core::Rejection;
use scheduler::core::Verdict;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::TaskName;
use scheduler::job::part::Part;
use site::Fake;
use site::LIMITS;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

fn pool(count: usize) -> Vec<Fake> {
    (0..count).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 3))).collect()
}

fn site(count: usize) -> Site {
    let mut site = Site::new(&["oven"], pool(count), 7);
    site.run(ms(200));
    site
}

fn name(job: u64, step: u32, member: u32) -> TaskName {
    TaskName { job: id(job), occurrence: 0, step, member }
}

#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut site = site(2);
    let second = Step { after: vec![0], ..step(2, 500) };
    assert_eq!(site.submit(1, "oven", spec(vec![step(4, 500), second])), Verdict::Store);
    site.run(ms(2_000));
    assert_eq!(site.state(1), Some(State::Completed));
    assert_eq!(site.monitor.starts, 6);
    site.monitor.check();
}

#[test]
fn nothing_starts_before_the_store_holds_the_job() {
    let mut site = site(2);
    site.store_down_until = site.now + ms(3_000);
    site.submit(1, "oven", spec(vec![step(4, 500)]));
    site.run(ms(2_900));
    assert_eq!(site.monitor.starts, 0);
    site.run(ms(1_500));
    assert_eq!(site.state(1), Some(State::Completed));
}

#[test]
fn a_job_that_no_write_covers_can_be_withdrawn() {
    let mut site = site(1);
    site.store_down_until = site.now + ms(3_000);
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(50));
    site.submit(2, "oven", spec(vec![step(1, 500)]));
    site.run(ms(50));
    assert!(!site.core().withdraw(id(1)), "its write is in flight");
    assert!(site.core().withdraw(id(2)));
    site.run(ms(6_000));
    assert_eq!(site.state(1), Some(State::Completed));
    assert_eq!(site.state(2), None);
    assert_eq!(site.monitor.starts, 1);
}

#[test]
fn a_repeated_submission_creates_no_second_job() {
    let mut site = site(1);
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    assert_eq!(site.submit(1, "oven", spec(vec![step(3, 500)])), Verdict::Storing);
    site.run(ms(1_500));
    assert_eq!(site.submit(1, "oven", spec(vec![step(1, 500)])), Verdict::Known);
    site.run(ms(1_500));
    assert_eq!(site.monitor.starts, 1);
}

/// Guards against starvation: with more changes than writes can carry, each one is still written.
#[test]
fn the_oldest_changes_are_written_first() {
    let mut site = site(1);
    for number in 0..20 {
        site.submit(100 - number, "oven", spec(vec![step(1, 500)]));
    }
    let now = site.now;
    let mut written = Vec::new();
    for round in 0..5 {
        let rows = site.core().begin_write(Limits { rows: 10, ..LIMITS });
        let jobs = rows.iter().filter_map(|row| Part::parse_key(&row.key));
        written.extend(jobs.map(|(id, _)| id));
        site.core().finish_write(now);
        // Further jobs, whose names sort before the first ones.
        for number in 0..10 {
            site.submit(round * 10 + number, "oven", spec(vec![step(1, 500)]));
        }
    }
    for number in 0..20 {
        assert!(written.contains(&id(100 - number)), "{written:?}");
    }
}

/// The store limits the entries of a write. A deleted job takes two, and leaves room for others.
#[test]
fn deletions_count_for_the_size_of_a_write() {
    const MAX: usize = 10;
    let mut site = site(1);
    for number in 0..20 {
        site.submit(number, "oven", spec(vec![step(1, 10)]));
    }
    site.run(ms(10_000));
    let retention = site.core().tuning().retention;
    let later = site.now + retention + ms(20_000);
    site.core().tick(later);
    for number in 20..40 {
        site.submit(number, "oven", spec(vec![step(1, 500)]));
    }
    let rows = site.core().begin_write(Limits { rows: MAX, ..LIMITS });
    let deleted = rows.iter().filter(|row| row.value.is_none()).count();
    assert!(rows.len() <= MAX, "{rows:?}");
    assert!(deleted > 0 && deleted < rows.len(), "{rows:?}");
}

#[test]
fn an_unknown_queue_is_refused() {
    let verdict = site(1).submit(1, "attic", spec(vec![step(1, 500)]));
    assert_eq!(verdict, Verdict::Rejected(Rejection::NoQueue));
}

#[test]
fn a_job_fails_once_the_attempts_of_a_task_are_used_up() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.fails = true;
    }
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(20_000));
    assert_eq!(site.state(1), Some(State::Failed));
    assert_eq!(site.monitor.failures(name(1, 0, 0)), 3);
}

#[test]
fn jobs_complete_beside_a_failing_instance() {
    let mut site = site(4);
    site.fakes[0].fails = true;
    for number in 0..40 {
        site.submit(number, "oven", spec(vec![step(2, 500)]));
        site.run(ms(100));
    }
    site.run(ms(6_000));
    let done = (0..40).filter(|&number| site.state(number) == Some(State::Completed)).count();
    assert_eq!(done, 40);
    site.monitor.check();
}

#[test]
fn hung_runs_are_restarted_elsewhere() {
    let mut site = site(2);
    site.fakes[0].hangs = true;
    site.submit(1, "oven", spec(vec![step(10, 500)]));
    site.run(ms(8_000));
    assert_eq!(site.state(1), Some(State::Completed));
    site.monitor.check();
}

#[test]
fn a_cancelled_job_stays_stopped_after_a_leader_change() {
    let mut site = site(2);
    let long_running = Step { long_running: true, ..step(3, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    assert_eq!(site.monitor.running(id(1)), 3);
    let now = site.now;
    assert_eq!(site.core().cancel(now, id(1)), Cancellation::Store);
    site.run(ms(50));
    site.change_leader(false);
    site.run(ms(1_500));
    assert_eq!(site.monitor.running(id(1)), 0);
    assert_eq!(site.state(1), Some(State::Cancelled));
    assert_eq!(site.core().cancel(now, id(2)), Cancellation::Unknown);
}

#[test]
fn long_running_tasks_restart_after_their_instance_is_lost() {
    let mut site = site(3);
    let long_running = Step { long_running: true, anti_affinity: 1, ..step(2, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    let crashed = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let now = site.now;
    site.fakes[crashed].crash(now, ms(60_000), &mut site.monitor);
    // Covers a lease of 5 s, 2 % for a slow clock, and the heartbeat call that has to time out
    // first.
    site.run(ms(8_500));
    assert_eq!(site.monitor.running(id(1)), 2);
    site.monitor.check();
}

#[test]
fn unanswered_heartbeats_do_not_extend_a_lease() {
    let mut site = site(2);
    let long_running = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    let unreachable =
        site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    site.fakes[unreachable].unreachable_until = site.now + ms(60_000);
    site.run(ms(8_500));
    let other = 1 - unreachable;
    assert_eq!(site.fakes[other].runs(), 1, "the task runs on the reachable instance");
    site.monitor.check();
}

#[test]
fn the_next_leader_knows_when_the_leases_of_an_unresponsive_instance_expire() {
    let mut site = site(2);
    let long_running = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    let crashed = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let now = site.now;
    site.fakes[crashed].crash(now, ms(60_000), &mut site.monitor);
    site.run(ms(3_500));
    assert_eq!(site.expiries.len(), 1, "unresponsive since {:?}", {
        let key = site.key(crashed);
        site.core().instance(key).unresponsive_since
    });
    site.change_leader(false);
    site.run(ms(4_500));
    assert_eq!(site.monitor.running(id(1)), 1);
    site.monitor.check();
}

#[test]
fn a_restarted_instance_has_lost_its_runs() {
    let mut site = site(1);
    site.submit(1, "oven", spec(vec![step(4, 500)]));
    site.run(ms(150));
    assert!(site.fakes[0].runs() > 0);
    let now = site.now;
    site.fakes[0].crash(now, ms(300), &mut site.monitor);
    site.run(ms(3_500));
    assert_eq!(site.state(1), Some(State::Completed));
    site.monitor.check();
}

#[test]
fn a_command_that_reaches_the_next_incarnation_is_not_repeated() {
    for offset in 0..60 {
        let mut site = site(2);
        let long_running = Step { long_running: true, ..step(6, 500) };
        site.submit(1, "oven", spec(vec![long_running]));
        site.run(ms(offset));
        let now = site.now;
        site.fakes[0].crash(now, ms(0), &mut site.monitor);
        site.run(ms(3_000));
        assert_eq!(site.monitor.running(id(1)), 6, "crash {offset} ms after the submission");
        site.monitor.check();
    }
}

#[test]
fn a_draining_instance_gets_nothing_new() {
    let mut site = site(2);
    site.fakes[0].draining = true;
    site.run(ms(500));
    site.submit(1, "oven", spec(vec![step(8, 500)]));
    site.run(ms(300));
    assert_eq!(site.fakes[0].runs(), 0);
    assert_eq!(site.fakes[1].runs(), 8);
}

#[test]
fn anti_affinity_limits_the_tasks_on_an_instance() {
    let mut site = site(3);
    let spread = Step { anti_affinity: 1, ..step(3, 500) };
    site.submit(1, "oven", spec(vec![spread]));
    site.run(ms(200));
    for fake in &site.fakes {
        assert_eq!(fake.runs(), 1, "{}", fake.id);
    }
}

#[test]
fn a_required_label_is_respected() {
    let mut site = site(3);
    let labelled = Step { requires: "r2".to_owned(), ..step(2, 500) };
    site.submit(1, "oven", spec(vec![labelled]));
    site.run(ms(200));
    assert_eq!(site.fakes[2].runs(), 2);
}

#[test]
fn a_gang_starts_whole_with_one_run() {
    let mut site = site(2);
    site.submit(1, "oven", spec(vec![step(10, 2_000)]));
    site.run(ms(100));
    let gang = Step { gang: true, ..step(8, 500) };
    site.submit(2, "oven", spec(vec![gang]));
    site.run(ms(200));
    assert!(matches!(site.monitor.running(id(2)), 0 | 8), "{}", site.monitor.running(id(2)));
}

#[test]
fn a_gang_without_room_changes_nothing() {
    let mut site = site(2);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 5_000;
    }
    site.submit(1, "oven", spec(vec![step(10, 5_000)]));
    site.run(ms(100));
    let gang = Step { gang: true, ..step(8, 500) };
    site.submit(2, "oven", spec(vec![gang]));
    site.run(ms(2_000));
    assert!(site.progress[&id(2)].tasks.is_empty(), "{:?}", site.progress[&id(2)]);
    assert!(site.core().longest_wait() >= ms(1_000), "{:?}", site.core().longest_wait());
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut site = site(1);
    let mut repeated = spec(vec![step(1, 500)]);
    repeated.repeats = 3;
    repeated.interval_ms = 2_000;
    site.submit(1, "oven", repeated);
    site.run(ms(1_500));
    assert_eq!(site.monitor.starts, 1);
    site.run(ms(2_000));
    assert_eq!(site.monitor.starts, 2);
    site.run(ms(3_000));
    assert_eq!(site.monitor.starts, 3);
    assert_eq!(site.state(1), Some(State::Completed));
}

#[test]
fn a_superseded_run_stays_booked_until_it_has_ended() {
    let mut site = site(2);
    let spread = Step { anti_affinity: 1, ..step(5, 500) };
    for fake in &mut site.fakes {
        fake.default_duration_ms = 1_000;
    }
    site.submit(1, "oven", spec(vec![spread]));
    site.run(ms(100));
    // The run on the first instance ends unreported, and its lease expires before the task is placed
    // on the second one.
    site.fakes[0].unreachable_until = site.now + ms(8_300);
    site.fakes[0].draining = true;
    site.run(ms(1_000));
    site.fakes[1].default_duration_ms = 5_800;
    site.run(ms(1_050));
    site.fakes[1].default_duration_ms = 60_000;
    site.run(ms(5_950));
    assert_eq!(site.fakes[1].runs(), 1);
    // The first instance is reachable again and reports its run as done. The step's last task may
    // not start on the second instance, beside the superseded run.
    site.fakes[1].default_duration_ms = 200;
    site.run(ms(3_000));
    site.monitor.check();
    assert_eq!(site.state(1), Some(State::Completed));
}

/// During a store outage, jobs that the store already holds run through all of their steps.
#[test]
fn jobs_run_during_a_store_outage() {
    let mut site = site(3);
    let second = Step { after: vec![0], ..step(2, 500) };
    site.submit(1, "oven", spec(vec![step(4, 500), second]));
    site.run(ms(9));
    site.store_down_until = site.now + ms(4_000);
    site.run(ms(2_500));
    assert_eq!(site.monitor.starts, 6, "4 tasks of the first step and 2 of the second");
    assert_eq!(
        site.state(1),
        Some(State::Active),
        "it counts as ended only once the store holds the end"
    );
    site.run(ms(2_500));
    site.monitor.check();
    assert_eq!(site.state(1), Some(State::Completed));
    assert_eq!(site.monitor.starts, 6);
}

/// A leader that can't reach the store may have been replaced, and the next leader may have renewed
/// leases of an instance that this one can't reach. So it must not restart a task whose lease it
/// takes to have expired before a write has confirmed its leadership.
#[test]
fn a_restart_after_lease_expiry_waits_for_the_store() {
    let mut site = site(2);
    let long_running = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![long_running]));
    site.run(ms(1_000));
    let unreachable =
        site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    site.fakes[unreachable].unreachable_until = site.now + ms(60_000);
    site.store_down_until = site.now + ms(9_000);
    site.run(ms(8_900));
    assert_eq!(site.monitor.starts, 1, "no second start while the store is down");
    site.run(ms(1_000));
    assert_eq!(site.fakes[1 - unreachable].runs(), 1, "restarted elsewhere after the write");
    site.monitor.check();
}

/// A new leader adopts runs that the previous one started during a store outage, and does not start
/// them again.
#[test]
fn unrecorded_starts_are_adopted_by_the_next_leader() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 3_000;
    }
    site.submit(1, "oven", spec(vec![step(6, 500)]));
    // The store holds the job, and no start of its tasks until after the change of leader.
    site.run(ms(7));
    site.store_down_until = site.now + ms(1_200);
    site.run(ms(400));
    assert_eq!(site.monitor.starts, 6);
    site.crash_leader();
    site.run(ms(700));
    assert!(site.progress[&id(1)].tasks.is_empty(), "{:?}", site.progress[&id(1)]);
    site.change_leader(false);
    site.run(ms(4_000));
    site.monitor.check();
    assert_eq!(site.monitor.starts, 6);
    assert_eq!(site.state(1), Some(State::Completed));
}

/// A new leader places no task that an unreachable instance may still run, started by the previous
/// leader during a store outage.
#[test]
fn tasks_that_an_unreachable_instance_may_run_wait() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 9_000;
    }
    site.submit(1, "oven", spec(vec![step(6, 500)]));
    // The store holds the job, and no start of its tasks until after the change of leader.
    site.run(ms(7));
    site.store_down_until = site.now + ms(1_200);
    site.run(ms(400));
    assert_eq!(site.monitor.starts, 6);
    for fake in &mut site.fakes {
        fake.unreachable_until = site.now + ms(3_000);
    }
    site.crash_leader();
    site.run(ms(700));
    assert!(site.progress[&id(1)].tasks.is_empty(), "{:?}", site.progress[&id(1)]);
    site.change_leader(false);
    site.run(ms(14_000));
    site.monitor.check();
    assert_eq!(site.state(1), Some(State::Completed));
}

/// A leader that steps down hands over its doubt about starts of the leader before it: the next one
/// must not place a task that an unreachable instance may still run.
#[test]
fn a_doubt_about_starts_outlives_a_leader_that_steps_down() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 9_000;
    }
    site.submit(1, "oven", spec(vec![step(6, 500)]));
    // The store holds the job, and no start of its tasks.
    site.run(ms(7));
    site.store_down_until = site.now + ms(500);
    site.run(ms(400));
    assert_eq!(site.monitor.starts, 6);
    for fake in site.fakes.iter_mut().filter(|fake| fake.runs() > 0) {
        fake.unreachable_until = site.now + ms(6_000);
    }
    assert!(site.progress[&id(1)].tasks.is_empty(), "{:?}", site.progress[&id(1)]);
    site.change_leader(false);
    site.run(ms(1_000));
    site.change_leader(true);
    site.run(ms(24_000));
    site.monitor.check();
    assert_eq!(site.state(1), Some(State::Completed));
}

/// Failures during a store outage count against a task's attempts, although the store does not hold
/// them when the next leader takes over.
#[test]
fn unrecorded_failures_count() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.fails = true;
    }
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(9));
    site.store_down_until = site.now + ms(1_000);
    site.run(ms(600));
    let name = name(1, 0, 0);
    let before = site.monitor.failures(name);
    assert!(before >= 1, "the task failed during the outage");
    site.crash_leader();
    site.run(ms(700));
    site.change_leader(false);
    site.run(ms(20_000));
    site.monitor.check();
    assert_eq!(site.state(1), Some(State::Failed));
    assert_eq!(site.monitor.failures(name), 3, "the attempts that the queue allows");
}

cases! {
    survives;
    lost_and_late_commands: Faults { late_percent: 30, ..Faults::default() },
    leader_changes: Faults { leader_changes: true, ..Faults::default() },
    crashes: Faults { crashes: true, ..Faults::default() },
    cuts: Faults { cuts: true, ..Faults::default() },
    outages: Faults { outages: true, ..Faults::default() },
    outages_and_leader_changes: Faults { outages: true, leader_changes: true, ..Faults::default() },
    outages_leader_changes_and_cuts: Faults { outages: true, leader_changes: true, cuts: true, ..Faults::default() },
    outages_leader_changes_and_late_commands: Faults {
        late_percent: 20,
        outages: true,
        leader_changes: true,
        ..Faults::default()
    },
    slow_clocks: Faults { clock_lag_permille: 19, cuts: true, leader_changes: true, ..Faults::default() },
    all_at_once: Faults {
        late_percent: 10,
        leader_changes: true,
        crashes: true,
        cuts: true,
        outages: true,
        clock_lag_permille: 10,
    },
}

#[derive(Clone, Copy, Default)]
struct Faults {
    /// Percent of start commands whose answer is lost and that take effect seconds later.
    late_percent: u64,
    leader_changes: bool,
    crashes: bool,
    /// Whether instances become unreachable for a time.
    cuts: bool,
    outages: bool,
    clock_lag_permille: u64,
}

/// Random faults from ten seeds: each task runs at most once at a time and never after it was done,
/// steps run in order, and each accepted job is completed.
fn survives(faults: Faults) {
    for seed in 1..=10 {
        survives_seed(faults, seed);
    }
}

/// Several commands for one job in a row get no answer, while starts are limited.
#[test]
fn a_job_with_lost_commands_is_not_starved() {
    survives_seed(Faults { late_percent: 30, ..Faults::default() }, 11);
}

fn survives_seed(faults: Faults, seed: u64) {
    let mut site = Site::new(&["oven"], pool(5), seed);
    site.late_percent = faults.late_percent;
    for fake in &mut site.fakes {
        fake.clock_lag_permille = faults.clock_lag_permille;
    }
    site.run(ms(200));
    let mut number = 0;
    for _ in 0..60 {
        if site.core.is_some() {
            number += 1;
            let second = Step { after: vec![0], ..step(2, 500) };
            site.submit(number, "oven", spec(vec![step(3, 500), second]));
        }
        inject(&mut site, faults);
        let pause = 50 + site.random(200);
        site.run(ms(pause));
    }
    if site.core.is_none() {
        site.change_leader(false);
    }
    site.run(ms(30_000));
    site.monitor.check();
    let incomplete: Vec<_> =
        site.accepted.keys().filter(|id| !site.completed.contains_key(*id)).collect();
    assert!(
        incomplete.is_empty(),
        "seed {seed}: {incomplete:?} of {} jobs not completed",
        site.accepted.len()
    );
}

fn inject(site: &mut Site, faults: Faults) {
    let victim = site.random(5) as usize;
    let now = site.now;
    if faults.crashes && site.random(8) == 0 {
        let after = ms(300 + site.random(3_000));
        site.fakes[victim].crash(now, after, &mut site.monitor);
    }
    if faults.cuts && site.random(8) == 0 {
        site.fakes[victim].unreachable_until = now + ms(200 + site.random(9_000));
    }
    if faults.outages && site.random(12) == 0 {
        site.store_down_until = now + ms(site.random(3_000));
    }
    if faults.leader_changes && site.random(10) == 0 {
        if site.core.is_some() {
            site.crash_leader();
        } else {
            site.change_leader(false);
        }
    }
}
