//! No accepted task is without a run for ever, whatever phase it is in when a fault comes.

mod site;

use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

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
