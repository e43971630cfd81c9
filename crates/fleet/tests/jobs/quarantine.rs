//! Tests of workers on which jobs fail that succeed elsewhere, and of jobs that fail everywhere.

use std::time::Duration;

use fleet::config;
use fleet::job;
use fleet::job::Condition;
use fleet::job::End;
use fleet::job::Fault;
use fleet::job::State;
use fleet::job::Trust;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;
use crate::worker::Task;

/// A site with this number of equal instances.
fn site(instances: u32) -> Site {
    let mut site = Site::unlimited();
    site.add_instances("main", instances, size(8, 32, 0));
    site
}

/// Submits short jobs of one kind and runs the site for `seconds`.
fn submit_and_run(site: &mut Site, prefix: &str, seconds: u32, jobs: u32) {
    for number in 0..jobs {
        let spec = config::Job { seconds: 5 + number % 10, ..spec("main", 4, 4, 0) };
        site.submit(&format!("{prefix}-{number}"), "all", prefix, &spec).expect("fits");
    }
    site.run(Duration::from_secs(seconds.into()));
}

fn trust(site: &Site, name: &str) -> Trust {
    site.world.trust(site.instance(name))
}

fn succeeded(site: &Site) -> usize {
    let done = site.world.jobs.iter().filter(|(_, job)| job.state == State::Done(End::Succeeded));
    done.count()
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_and_costs_no_job() {
    let mut site = site(12);
    site.worker("main-3").faults.fails_all = true;
    submit_and_run(&mut site, "job", 150, 200);
    assert_eq!(trust(&site, "main-3"), Trust::Quarantine);
    assert_eq!(site.count("quarantine"), 1);
    assert_eq!(succeeded(&site), 200);
    let alerts = job::alerts(&site.world, &site.index, site.now);
    assert!(alerts.iter().any(|one| matches!(one.condition, Condition::Quarantine { .. })));
}

#[test]
fn a_repaired_worker_is_trusted_again_after_probation() {
    let mut site = site(6);
    site.worker("main-3").faults.fails_all = true;
    submit_and_run(&mut site, "bad", 60, 100);
    assert_eq!(trust(&site, "main-3"), Trust::Quarantine);
    site.worker("main-3").faults.fails_all = false;
    site.run(Duration::from_secs(560));
    assert_eq!(trust(&site, "main-3"), Trust::Probation);
    submit_and_run(&mut site, "good", 90, 100);
    assert_eq!(trust(&site, "main-3"), Trust::Trusted);
    assert_eq!((site.count("probation"), site.count("trust")), (1, 1));
    site.check();
}

#[test]
fn a_worker_that_fails_on_probation_is_quarantined_for_longer() {
    let mut site = site(6);
    site.worker("main-3").faults.fails_all = true;
    submit_and_run(&mut site, "bad", 60, 100);
    site.run(Duration::from_secs(560));
    submit_and_run(&mut site, "more", 60, 100);
    let worker = &site.world.workers["main-3"];
    assert_eq!((worker.trust, worker.quarantines), (Trust::Quarantine, 2));
    assert_eq!(worker.until.since(worker.since), Duration::from_secs(1_200));
}

#[test]
fn a_job_that_fails_everywhere_is_parked_and_no_worker_is_blamed() {
    let mut site = site(12);
    let runs = Duration::from_secs(1);
    for number in 0..60 {
        let name = format!("bad-{number}");
        let usage = size(4, 4, 0);
        site.tasks.insert(name.clone(), Task { runs, usage, fails: true });
        site.submit(&name, "all", "bad", &spec("main", 4, 4, 0)).expect("fits");
    }
    submit_and_run(&mut site, "good", 120, 60);
    for number in 0..60 {
        let state = &site.job(&format!("bad-{number}")).state;
        assert!(matches!(state, State::Parked(Fault::FailsEverywhere)), "{state:?}");
    }
    assert_eq!(site.count("quarantine"), 0);
    assert_eq!(succeeded(&site), 60);
}

#[test]
fn a_job_is_tried_on_different_workers() {
    let mut site = site(6);
    let task = Task { runs: Duration::from_secs(1), usage: size(4, 4, 0), fails: true };
    site.tasks.insert("bad".to_owned(), task);
    site.submit("bad", "all", "bad", &spec("main", 4, 4, 0)).expect("fits");
    site.run(Duration::from_secs(60));
    let mut instances: Vec<_> =
        site.job("bad").history.iter().map(|ended| ended.instance).collect();
    assert_eq!(instances.len(), 4);
    instances.dedup();
    instances.sort();
    instances.dedup();
    assert_eq!(instances.len(), 4);
}

#[test]
fn no_more_than_a_bounded_part_of_a_pool_is_quarantined() {
    let mut site = site(20);
    submit_and_run(&mut site, "early", 60, 100);
    for number in 0..8 {
        site.worker(&format!("main-{number}")).faults.fails_all = true;
    }
    submit_and_run(&mut site, "late", 60, 200);
    let quarantined = site.world.workers.values().filter(|one| one.trust == Trust::Quarantine);
    assert_eq!(quarantined.count(), 2);
    let alerts = job::alerts(&site.world, &site.index, site.now);
    let suspects = alerts.iter().filter(|one| matches!(one.condition, Condition::Suspect { .. }));
    assert!(suspects.count() >= 1);
}

#[test]
fn a_worker_alone_in_its_pool_is_never_quarantined() {
    let mut site = site(1);
    site.worker("main-0").faults.fails_all = true;
    submit_and_run(&mut site, "job", 60, 40);
    assert_eq!(site.count("quarantine"), 0);
}
