//! Tests of wrong job sizes: bounded resizing, throttling, checkpoints and stops.

use std::time::Duration;

use fleet::config;
use fleet::config::Size;
use fleet::job::Action;
use fleet::job::End;
use fleet::job::Fault;
use fleet::job::State;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;
use crate::worker::Faults;
use crate::worker::Task;

fn task(usage: Size) -> Task {
    Task { runs: Duration::from_secs(600), usage, fails: false }
}

fn booked(site: &Site, name: &str) -> Size {
    site.job(name).state.placed().expect("placed").booked
}

#[test]
fn a_size_declared_too_large_is_corrected_slowly_and_not_below_its_bound() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(32, 64, 0));
    let spec = config::Job { seconds: 600, ..spec("main", 16, 32, 0) };
    site.submit("job", "all", "kind", &spec).expect("fits");
    site.tasks.insert("job".to_owned(), task(size(1, 1, 0)));
    site.run(Duration::from_secs(59));
    assert_eq!(booked(&site, "job"), size(16, 32, 0));
    site.run(Duration::from_secs(10));
    assert_eq!(booked(&site, "job"), size(14, 28, 0));
    site.run(Duration::from_secs(500));
    assert_eq!(booked(&site, "job"), size(8, 24, 0));
    site.check();
}

#[test]
fn a_size_declared_too_small_grows_at_once_to_what_is_in_use() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(32, 64, 0));
    site.submit("job", "all", "kind", &spec("main", 8, 16, 0)).expect("fits");
    site.tasks.insert("job".to_owned(), task(size(9, 20, 0)));
    site.run(Duration::from_secs(2));
    let now = booked(&site, "job");
    assert!(size(9, 20, 0).fits_in(now), "{now}");
    assert!(now.fits_in(size(12, 24, 0)), "{now}");
    assert!(
        matches!(site.job("job").state, State::Running(attempt) if attempt.action == Action::Run)
    );
}

#[test]
fn later_jobs_of_a_kind_are_booked_for_what_earlier_ones_used() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(64, 256, 0));
    let spec = config::Job { seconds: 10, ..spec("main", 8, 16, 0) };
    for number in 0..6 {
        let name = format!("early-{number}");
        site.submit(&name, "all", "kind", &spec).expect("fits");
        let runs = Duration::from_secs(10);
        site.tasks.insert(name, Task { runs, ..task(size(10, 20, 0)) });
    }
    site.run(Duration::from_secs(15));
    site.submit("late", "all", "kind", &spec).expect("fits");
    site.tick();
    assert!(size(10, 20, 0).fits_in(booked(&site, "late")));
}

/// An instance filled by two jobs, of which the second, `job`, has this usage.
fn overrunning(spec: &config::Job, usage: Size) -> Site {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(16, 32, 0));
    let other = config::Job { seconds: 600, ..self::spec("main", 8, 16, 0) };
    site.submit("other", "all", "other", &other).expect("fits");
    site.submit("job", "all", "kind", spec).expect("fits");
    site.tasks.insert("job".to_owned(), task(usage));
    site
}

#[test]
fn exceeding_cores_is_only_throttled() {
    let spec = config::Job { seconds: 600, ..spec("main", 8, 16, 0) };
    let mut site = overrunning(&spec, size(16, 16, 0));
    site.run(Duration::from_secs(60));
    assert_eq!((site.count("throttle"), site.count("stop")), (1, 0));
    site.check();
}

#[test]
fn a_throttle_that_does_not_help_is_followed_by_a_checkpoint() {
    let spec = config::Job { preemptible: true, seconds: 600, ..spec("main", 8, 16, 0) };
    let mut site = overrunning(&spec, size(16, 16, 0));
    site.run(Duration::from_millis(500));
    site.worker("main-0").faults = Faults { ignores_throttles: true, ..Faults::default() };
    site.run(Duration::from_secs(13));
    assert_eq!((site.count("throttle"), site.count("checkpoint")), (1, 1));
    assert_eq!(site.count("stop"), 0);
    assert!(size(12, 16, 0).fits_in(site.job("job").need), "{}", site.job("job").need);
}

#[test]
fn a_checkpoint_that_does_not_come_is_followed_by_a_stop() {
    let spec = config::Job { preemptible: true, seconds: 600, ..spec("main", 8, 16, 0) };
    let mut site = overrunning(&spec, size(16, 16, 0));
    site.run(Duration::from_millis(500));
    site.worker("main-0").faults =
        Faults { ignores_throttles: true, ignores_checkpoints: true, ..Faults::default() };
    site.run(Duration::from_secs(20));
    assert_eq!((site.count("throttle"), site.count("checkpoint"), site.count("stop")), (1, 1, 1));
}

#[test]
fn memory_that_runs_out_leaves_no_time_to_throttle() {
    let spec = config::Job { preemptible: true, seconds: 600, ..spec("main", 8, 16, 0) };
    let mut site = overrunning(&spec, size(8, 30, 0));
    site.run(Duration::from_secs(2));
    assert_eq!((site.count("throttle"), site.count("checkpoint")), (0, 1));
}

#[test]
fn a_job_that_may_not_run_twice_is_stopped_only_for_memory_and_then_parked() {
    let spec = config::Job { idempotent: false, seconds: 600, ..spec("main", 8, 16, 0) };
    let mut site = overrunning(&spec, size(16, 16, 0));
    site.worker("main-0").faults = Faults { ignores_throttles: true, ..Faults::default() };
    site.run(Duration::from_secs(60));
    assert_eq!(site.count("stop"), 0);
    let mut site = overrunning(&spec, size(8, 30, 0));
    site.run(Duration::from_secs(60));
    assert_eq!(site.count("stop"), 1);
    assert!(matches!(site.job("job").state, State::Parked(Fault::Overruns)));
    assert_eq!(site.fresh_runs["job"], 1);
}

#[test]
fn a_job_that_overruns_on_every_instance_is_parked_or_too_big() {
    let spec = config::Job { seconds: 600, ..spec("main", 4, 8, 0) };
    let mut site = overrunning(&spec, size(4, 40, 0));
    site.run(Duration::from_secs(400));
    let job = site.job("job");
    let expected = matches!(job.state, State::Parked(Fault::Overruns)) || site.is_queued("job");
    assert!(expected, "{:?}", job.state);
    assert!(!matches!(site.job("other").state, State::Done(End::Failed(_))));
    site.check();
}
