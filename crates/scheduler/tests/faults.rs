//! Faults of instances, of the store and of schedulers, against the scheduler in virtual time.

mod site;

use cases::cases;
use scheduler::core::Cancellation;
use scheduler::core::Rejection;
use scheduler::core::Verdict;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::TaskName;
use site::Fake;
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
    assert_eq!(site.ledger.starts, 6);
    site.ledger.check();
}

#[test]
fn nothing_starts_before_the_store_holds_the_job() {
    let mut site = site(2);
    site.store_down_until = site.now + ms(3_000);
    site.submit(1, "oven", spec(vec![step(4, 500)]));
    site.run(ms(2_900));
    assert_eq!(site.ledger.starts, 0);
    site.run(ms(1_500));
    assert_eq!(site.state(1), Some(State::Completed));
}

#[test]
fn a_job_in_no_write_can_be_withdrawn() {
    let mut site = site(1);
    site.store_down_until = site.now + ms(3_000);
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(50));
    site.submit(2, "oven", spec(vec![step(1, 500)]));
    site.run(ms(50));
    assert!(!site.core().withdraw(id(1)), "its write is under way");
    assert!(site.core().withdraw(id(2)));
    site.run(ms(6_000));
    assert_eq!(site.state(1), Some(State::Completed));
    assert_eq!(site.state(2), None);
    assert_eq!(site.ledger.starts, 1);
}

#[test]
fn a_repeat_remains_one_job() {
    let mut site = site(1);
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    assert_eq!(site.submit(1, "oven", spec(vec![step(3, 500)])), Verdict::Storing);
    site.run(ms(1_500));
    assert_eq!(site.submit(1, "oven", spec(vec![step(1, 500)])), Verdict::Known);
    site.run(ms(1_500));
    assert_eq!(site.ledger.starts, 1);
}

/// More changes than writes can carry: none waits for ever.
#[test]
fn what_waits_longest_is_written_first() {
    let mut site = site(1);
    for number in 0..20 {
        site.submit(100 - number, "oven", spec(vec![step(1, 500)]));
    }
    let now = site.now;
    let mut written = Vec::new();
    for round in 0..5 {
        let rows = site.core().begin_write(10);
        written.extend(rows.iter().map(|row| row.id));
        site.core().finish_write(now);
        // Jobs with lower names keep coming.
        for number in 0..10 {
            site.submit(round * 10 + number, "oven", spec(vec![step(1, 500)]));
        }
    }
    for number in 0..20 {
        assert!(written.contains(&id(100 - number)), "{written:?}");
    }
}

#[test]
fn an_unknown_queue_is_refused() {
    let verdict = site(1).submit(1, "attic", spec(vec![step(1, 500)]));
    assert_eq!(verdict, Verdict::Rejected(Rejection::NoQueue));
}

#[test]
fn failed_tasks_go_elsewhere_until_their_attempts_are_used_up() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.fails = true;
    }
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(20_000));
    assert_eq!(site.state(1), Some(State::Failed));
    assert_eq!(site.ledger.failures(name(1, 0, 0)), 3);
}

#[test]
fn an_instance_that_fails_all_gets_little() {
    let mut site = site(4);
    site.fakes[0].fails = true;
    for number in 0..40 {
        site.submit(number, "oven", spec(vec![step(2, 500)]));
        site.run(ms(100));
    }
    site.run(ms(6_000));
    let done = (0..40).filter(|&number| site.state(number) == Some(State::Completed)).count();
    assert_eq!(done, 40);
    site.ledger.check();
}

#[test]
fn runs_that_stand_still_go_elsewhere() {
    let mut site = site(2);
    site.fakes[0].hangs = true;
    site.submit(1, "oven", spec(vec![step(10, 500)]));
    site.run(ms(8_000));
    assert_eq!(site.state(1), Some(State::Completed));
    site.ledger.check();
}

#[test]
fn a_cancelled_job_stops_and_stays_so_across_a_change_of_office() {
    let mut site = site(2);
    let lasting = Step { long_running: true, ..step(3, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    assert_eq!(site.ledger.running(id(1)), 3);
    let now = site.now;
    assert_eq!(site.core().cancel(now, id(1)), Cancellation::Store);
    site.run(ms(50));
    site.take_office(false);
    site.run(ms(1_500));
    assert_eq!(site.ledger.running(id(1)), 0);
    assert_eq!(site.state(1), Some(State::Cancelled));
    assert_eq!(site.core().cancel(now, id(2)), Cancellation::Unknown);
}

#[test]
fn lasting_tasks_are_at_work_again_after_their_instance_is_lost() {
    let mut site = site(3);
    let lasting = Step { long_running: true, anti_affinity: 1, ..step(2, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    let lost = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let now = site.now;
    site.fakes[lost].crash(now, ms(60_000), &mut site.ledger);
    // A grant of 5 s, 2% for a slow clock, and the silence before it.
    site.run(ms(8_500));
    assert_eq!(site.ledger.running(id(1)), 2);
    site.ledger.check();
}

#[test]
fn looks_without_answer_do_not_put_off_the_end_of_a_lease() {
    let mut site = site(2);
    let lasting = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    let cut = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    site.fakes[cut].cut_until = site.now + ms(60_000);
    site.run(ms(8_500));
    let other = 1 - cut;
    assert_eq!(site.fakes[other].runs(), 1, "it runs where it can be reached");
    site.ledger.check();
}

#[test]
fn a_successor_is_told_when_a_silent_instance_lapses() {
    let mut site = site(2);
    let lasting = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    let lost = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    let now = site.now;
    site.fakes[lost].crash(now, ms(60_000), &mut site.ledger);
    site.run(ms(3_500));
    assert_eq!(site.silences.len(), 1, "silent since {:?}", {
        let key = site.key(lost);
        site.core().instance(key).unresponsive_since
    });
    site.take_office(false);
    site.run(ms(4_500));
    assert_eq!(site.ledger.running(id(1)), 1);
    site.ledger.check();
}

#[test]
fn an_instance_born_anew_runs_nothing_of_before() {
    let mut site = site(1);
    site.submit(1, "oven", spec(vec![step(4, 500)]));
    site.run(ms(150));
    assert!(site.fakes[0].runs() > 0);
    let now = site.now;
    site.fakes[0].crash(now, ms(300), &mut site.ledger);
    site.run(ms(3_500));
    assert_eq!(site.state(1), Some(State::Completed));
    site.ledger.check();
}

#[test]
fn an_order_that_reaches_the_next_life_of_an_instance_is_not_given_again() {
    for offset in 0..60 {
        let mut site = site(2);
        let lasting = Step { long_running: true, ..step(6, 500) };
        site.submit(1, "oven", spec(vec![lasting]));
        site.run(ms(offset));
        let now = site.now;
        site.fakes[0].crash(now, ms(0), &mut site.ledger);
        site.run(ms(3_000));
        assert_eq!(site.ledger.running(id(1)), 6, "{offset} ms after the job came");
        site.ledger.check();
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
fn no_more_of_a_step_on_one_instance_than_it_allows() {
    let mut site = site(3);
    let apart = Step { anti_affinity: 1, ..step(3, 500) };
    site.submit(1, "oven", spec(vec![apart]));
    site.run(ms(200));
    for fake in &site.fakes {
        assert_eq!(fake.runs(), 1, "{}", fake.id);
    }
}

#[test]
fn a_label_is_kept_to() {
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
    assert!(matches!(site.ledger.running(id(2)), 0 | 8), "{}", site.ledger.running(id(2)));
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut site = site(1);
    let mut repeated = spec(vec![step(1, 500)]);
    repeated.repeats = 3;
    repeated.interval_ms = 2_000;
    site.submit(1, "oven", repeated);
    site.run(ms(1_500));
    assert_eq!(site.ledger.starts, 1);
    site.run(ms(2_000));
    assert_eq!(site.ledger.starts, 2);
    site.run(ms(3_000));
    assert_eq!(site.ledger.starts, 3);
    assert_eq!(site.state(1), Some(State::Completed));
}

#[test]
fn a_run_that_is_not_needed_any_more_keeps_its_place_until_it_has_ended() {
    let mut site = site(2);
    let apart = Step { anti_affinity: 1, ..step(5, 500) };
    for fake in &mut site.fakes {
        fake.usual_ms = 1_000;
    }
    site.submit(1, "oven", spec(vec![apart]));
    site.run(ms(100));
    // The run there ends unheard, and has lapsed for us when it goes to the other instance.
    site.fakes[0].cut_until = site.now + ms(8_300);
    site.fakes[0].draining = true;
    site.run(ms(1_000));
    site.fakes[1].usual_ms = 5_800;
    site.run(ms(1_050));
    site.fakes[1].usual_ms = 60_000;
    site.run(ms(5_950));
    assert_eq!(site.fakes[1].runs(), 1);
    // Heard of again, it tells that its run was done. The step's last task may not start beside
    // the one that is not needed any more.
    site.fakes[1].usual_ms = 200;
    site.run(ms(3_000));
    site.ledger.check();
    assert_eq!(site.state(1), Some(State::Completed));
}

/// Jobs that the store holds are worked off while it is away, step after step.
#[test]
fn work_goes_on_while_the_store_is_away() {
    let mut site = site(3);
    let second = Step { after: vec![0], ..step(2, 500) };
    site.submit(1, "oven", spec(vec![step(4, 500), second]));
    site.run(ms(9));
    site.store_down_until = site.now + ms(4_000);
    site.run(ms(2_500));
    assert_eq!(site.ledger.starts, 6, "4 tasks, and 2 after them");
    assert_eq!(site.state(1), Some(State::Active), "it has ended once the store says so");
    site.run(ms(2_500));
    site.ledger.check();
    assert_eq!(site.state(1), Some(State::Completed));
    assert_eq!(site.ledger.starts, 6);
}

/// A scheduler without proof of its office may have a successor that has renewed a lease: what it
/// takes to have lapsed does not start anew before it has written so.
#[test]
fn what_should_have_lapsed_waits_for_the_store() {
    let mut site = site(2);
    let lasting = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![lasting]));
    site.run(ms(1_000));
    let cut = site.fakes.iter().position(|fake| fake.runs() > 0).expect("one of them runs it");
    site.fakes[cut].cut_until = site.now + ms(60_000);
    site.store_down_until = site.now + ms(9_000);
    site.run(ms(8_900));
    assert_eq!(site.ledger.starts, 1, "the store knows of one place");
    site.run(ms(1_000));
    assert_eq!(site.fakes[1 - cut].runs(), 1, "now it knows of another");
    site.ledger.check();
}

/// A successor that takes over without a word finds what its predecessor started meanwhile.
#[test]
fn what_started_while_the_store_was_away_is_adopted() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.usual_ms = 3_000;
    }
    site.submit(1, "oven", spec(vec![step(6, 500)]));
    site.run(ms(9));
    site.store_down_until = site.now + ms(500);
    site.run(ms(400));
    assert_eq!(site.ledger.starts, 6);
    site.kill();
    site.run(ms(700));
    site.take_office(false);
    site.run(ms(4_000));
    site.ledger.check();
    assert_eq!(site.ledger.starts, 6);
    assert_eq!(site.state(1), Some(State::Completed));
}

/// Nor does it place anything while an instance that it can't reach may run it.
#[test]
fn what_an_unreachable_instance_may_run_waits() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.usual_ms = 9_000;
    }
    site.submit(1, "oven", spec(vec![step(6, 500)]));
    site.run(ms(9));
    site.store_down_until = site.now + ms(500);
    site.run(ms(400));
    assert_eq!(site.ledger.starts, 6);
    for fake in &mut site.fakes {
        fake.cut_until = site.now + ms(3_000);
    }
    site.kill();
    site.run(ms(700));
    site.take_office(false);
    site.run(ms(14_000));
    site.ledger.check();
    assert_eq!(site.state(1), Some(State::Completed));
}

/// Failures that the store does not tell of count against a task's attempts.
#[test]
fn failures_while_the_store_was_away_count() {
    let mut site = site(3);
    for fake in &mut site.fakes {
        fake.fails = true;
    }
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(9));
    site.store_down_until = site.now + ms(1_000);
    site.run(ms(600));
    let name = name(1, 0, 0);
    let before = site.ledger.failures(name);
    assert!(before >= 1, "it failed while the store was away");
    site.kill();
    site.run(ms(700));
    site.take_office(false);
    site.run(ms(20_000));
    site.ledger.check();
    assert_eq!(site.state(1), Some(State::Failed));
    assert_eq!(site.ledger.failures(name), 3, "as many attempts as its queue allows");
}

cases! {
    survives;
    lost_and_late_orders: Trouble { late_percent: 30, ..Trouble::default() },
    changes_of_office: Trouble { changes: true, ..Trouble::default() },
    crashes: Trouble { crashes: true, ..Trouble::default() },
    cuts: Trouble { cuts: true, ..Trouble::default() },
    outages: Trouble { outages: true, ..Trouble::default() },
    outages_and_changes: Trouble { outages: true, changes: true, ..Trouble::default() },
    outages_changes_and_cuts: Trouble { outages: true, changes: true, cuts: true, ..Trouble::default() },
    outages_changes_and_late_orders: Trouble {
        late_percent: 20,
        outages: true,
        changes: true,
        ..Trouble::default()
    },
    slow_clocks: Trouble { slow_clock: 19, cuts: true, changes: true, ..Trouble::default() },
    all_at_once: Trouble {
        late_percent: 10,
        changes: true,
        crashes: true,
        cuts: true,
        outages: true,
        slow_clock: 10,
    },
}

#[derive(Clone, Copy, Default)]
struct Trouble {
    late_percent: u64,
    changes: bool,
    crashes: bool,
    cuts: bool,
    outages: bool,
    slow_clock: u64,
}

/// Ten seeds of random troubles: each task at most once at a time, never after it was done, in the
/// order of steps; each accepted job comes to its end.
fn survives(trouble: Trouble) {
    for seed in 1..=10 {
        let mut site = Site::new(&["oven"], pool(5), seed);
        site.late_percent = trouble.late_percent;
        for fake in &mut site.fakes {
            fake.slow_clock = trouble.slow_clock;
        }
        site.run(ms(200));
        let mut number = 0;
        for _ in 0..60 {
            if site.core.is_some() {
                number += 1;
                let second = Step { after: vec![0], ..step(2, 500) };
                site.submit(number, "oven", spec(vec![step(3, 500), second]));
            }
            strike(&mut site, trouble);
            let pause = 50 + site.random(200);
            site.run(ms(pause));
        }
        if site.core.is_none() {
            site.take_office(false);
        }
        site.run(ms(30_000));
        site.ledger.check();
        let open: Vec<_> =
            site.accepted.keys().filter(|id| !site.completed.contains_key(*id)).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?} of {} jobs", site.accepted.len());
    }
}

fn strike(site: &mut Site, trouble: Trouble) {
    let victim = site.random(5) as usize;
    let now = site.now;
    if trouble.crashes && site.random(8) == 0 {
        let after = ms(300 + site.random(3_000));
        site.fakes[victim].crash(now, after, &mut site.ledger);
    }
    if trouble.cuts && site.random(8) == 0 {
        site.fakes[victim].cut_until = now + ms(200 + site.random(9_000));
    }
    if trouble.outages && site.random(12) == 0 {
        site.store_down_until = now + ms(site.random(3_000));
    }
    if trouble.changes && site.random(10) == 0 {
        if site.core.is_some() {
            site.kill();
        } else {
            site.take_office(false);
        }
    }
}
