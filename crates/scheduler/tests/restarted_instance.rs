//! An idle instance restarts under its name, and gets a task before anything has shown the restart: the task
//! runs on another process than the one that its placement was recorded with.

mod site;

use std::time::Duration;

use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// How the term ends in which the task was placed.
#[derive(Clone, Copy, Debug)]
struct TakeOver {
    /// Whether the leader steps down, or crashes.
    stepped_down: bool,
    /// Time from the start of the task to the change.
    after: Duration,
    /// Time for which the next leader can't reach the instance.
    cut: Duration,
    /// Percent of stop commands that are lost.
    lost_stops: u64,
}

const ORDERLY: TakeOver =
    TakeOver { stepped_down: true, after: ms(3_000), cut: Duration::ZERO, lost_stops: 0 };

cases::cases! {
    a_run_on_a_restarted_instance_is_not_started_twice_by_the_next_leader;
    after_an_orderly_change: ORDERLY,
    after_an_orderly_change_at_once: TakeOver { after: ms(15), ..ORDERLY },
    after_a_crash_of_the_leader: TakeOver { stepped_down: false, ..ORDERLY },
    with_stops_that_are_lost: TakeOver { lost_stops: 100, ..ORDERLY },
    that_can_not_reach_it: TakeOver { cut: ms(4_000), ..ORDERLY },
    that_can_not_reach_it_after_a_crash: TakeOver {
        stepped_down: false, cut: ms(4_000), ..ORDERLY
    },
}

/// Guards against a second run of a task whose row names the process before the one that runs it.
fn a_run_on_a_restarted_instance_is_not_started_twice_by_the_next_leader(take_over: TakeOver) {
    let TakeOver { stepped_down, after, cut, lost_stops } = take_over;
    let fakes = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    for fake in &mut site.fakes {
        fake.default_duration_ms = 12_000;
    }
    site.fakes[1].draining = true;
    site.run(ms(3_000));
    let (now, before) = (site.now, site.fakes[0].incarnation);
    site.fakes[0].crash(now, ms(1_000), &mut site.monitor);
    site.fakes[0].listed_incarnation = Some(before);
    site.run(ms(1_300));
    site.submit(1, "oven", spec(vec![step(1, 12_000)]));
    site.run(ms(20));
    assert_eq!(site.fakes[0].runs(), 1, "it runs on the restarted instance");
    site.run(after);
    site.fakes[0].listed_incarnation = None;
    site.fakes[1].draining = false;
    site.losses.stops = lost_stops;
    site.fakes[0].unreachable_until = site.now + cut;
    site.change_leader(stepped_down);
    site.run(ms(9_000));
    assert_eq!((site.core().crashes(), site.core().suspects()), (0, 0), "crashes, suspects");
    site.losses.stops = 0;
    site.run(ms(9_000));
    site.monitor.check();
    assert!(site.completed.contains_key(&id(1)), "the job is completed");
}

/// A task placed with an outdated incarnation, of which no heartbeat has shown the run yet.
fn task_with_outdated_row() -> (Site, u64) {
    let mut site = Site::new(&["oven"], vec![Fake::new("i-0", "oven", "r0")], 3);
    site.fakes[0].default_duration_ms = 12_000;
    site.run(ms(3_000));
    let (now, before) = (site.now, site.fakes[0].incarnation);
    site.fakes[0].crash(now, ms(1_000), &mut site.monitor);
    site.fakes[0].listed_incarnation = Some(before);
    site.run(ms(1_300));
    site.submit(1, "oven", spec(vec![step(1, 12_000)]));
    site.run(ms(20));
    (site, before)
}

/// The row names the process that runs the task, not the one that was known when the task was placed.
#[test]
fn the_row_of_a_task_names_the_incarnation_that_runs_it() {
    let (mut site, before) = task_with_outdated_row();
    assert_eq!(site.progress[&id(1)].tasks[0].incarnation, before);
    site.run(ms(1_500));
    assert_eq!(site.progress[&id(1)].tasks[0].incarnation, site.fakes[0].incarnation);
}

/// The instance crashes between two terms: its task starts again as soon as the instance says so.
#[test]
fn a_task_of_an_instance_that_restarted_between_two_terms_starts_again() {
    let (mut site, _) = task_with_outdated_row();
    site.run(ms(1_500));
    let now = site.now;
    site.crash_leader();
    site.fakes[0].listed_incarnation = None;
    site.fakes[0].crash(now, ms(500), &mut site.monitor);
    site.run(ms(800));
    site.change_leader(true);
    site.run(ms(100));
    assert_eq!(site.fakes[0].runs(), 1, "the task runs again");
    assert_eq!(site.core().crashes(), 1);
    site.monitor.check();
}
