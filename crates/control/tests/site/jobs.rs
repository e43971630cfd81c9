//! Jobs from submission to their end, through every fault.

use std::net::SocketAddr;
use std::time::Duration;

use contract::Phase;
use control::act::Error;
use control::act::Resolution;
use control::act::Stamp;
use control::act::Submission;
use futures_lite::future::block_on;
use standin::platform::Faults;

use crate::support::Site;
use crate::support::pool_duty;

/// The target for urgent work.
const URGENT: Duration = Duration::from_millis(4_600);

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index))
}

fn submission(kind: &str) -> Submission {
    Submission {
        name: "j1".to_owned(),
        organisation: "lisbon".to_owned(),
        team: "planning".to_owned(),
        kind: kind.to_owned(),
        input: "in".to_owned(),
    }
}

fn stamp(operation: &str) -> Stamp {
    Stamp { operation: operation.to_owned(), author: "rosa".to_owned() }
}

fn submit(site: &mut Site, name: &str, kind: &str) {
    let now = site.now;
    let engine = site.entry(name).engine.clone();
    block_on(engine.submit(&stamp("submit"), &submission(kind), now)).expect("it is taken in");
}

/// Every start that any worker was told, by worker.
fn starts(site: &Site) -> Vec<(u16, String, u32)> {
    let told = |index: u16| {
        let starts = site.workers.with(address(index), |worker| worker.starts.clone());
        starts.into_iter().map(move |(job, number)| (index, job, number))
    };
    let mut starts: Vec<_> = (0..4).flat_map(told).collect();
    starts.sort();
    starts.dedup();
    starts
}

fn state(site: &mut Site) -> String {
    site.entry("b").engine.jobs("").first().map(|job| job.state.clone()).unwrap_or_default()
}

#[test]
fn a_job_runs_once_and_ends() {
    let mut site = Site::with_workers(3, 3, 4);
    submit(&mut site, "a", "urgent");
    let started = site.run_until(URGENT, |site| !starts(site).is_empty());
    assert!(started.is_some(), "it has not started");
    let (worker, job, number) = starts(&site)[0].clone();
    site.workers.with(address(worker), |worker| {
        worker.attempts.get_mut(&(job, number)).expect("it runs").phase = Phase::Succeeded;
    });
    site.run(Duration::from_secs(3));
    assert_eq!(state(&mut site), "succeeded");
    assert_eq!(starts(&site).len(), 1);
    let left = site.workers.with(address(worker), |worker| worker.attempts.len());
    assert_eq!(left, 0, "its worker was told to forget it");
}

#[test]
fn urgent_work_starts_in_time_through_the_death_of_a_holder() {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    let other = ["a", "b", "c"].into_iter().find(|name| *name != holder).expect("others");
    site.pause(&holder);
    submit(&mut site, other, "urgent");
    let started = site.run_until(URGENT, |site| !starts(site).is_empty());
    assert!(started.is_some(), "it has not started");
}

/// What goes wrong with the answer to a start.
#[derive(Clone, Copy)]
enum Start {
    AnswerLost,
    WorkerRestarts,
    HolderDiesAfterTelling,
}

cases::cases! {
    a_job_that_may_not_run_twice_does_not;
    a_job_does_not_run_twice_when_the_answer_to_its_start_is_lost: Start::AnswerLost,
    a_job_does_not_run_twice_when_its_worker_restarts: Start::WorkerRestarts,
    a_job_does_not_run_twice_when_its_holder_dies: Start::HolderDiesAfterTelling,
}

fn a_job_that_may_not_run_twice_does_not(start: Start) {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("someone holds it");
    submit(&mut site, &holder, "once");
    site.run_until(URGENT, |site| !starts(site).is_empty()).expect("it starts");
    let (worker, ..) = starts(&site)[0];
    match start {
        Start::AnswerLost => site.workers.with(address(worker), |worker| worker.mute = true),
        Start::WorkerRestarts => site.workers.start(address(worker)),
        Start::HolderDiesAfterTelling => site.pause(&holder),
    }
    site.run(Duration::from_secs(60));
    let again: Vec<_> = starts(&site).into_iter().filter(|(_, _, number)| *number > 1).collect();
    assert!(again.is_empty(), "{again:?}");
}

#[test]
fn a_job_whose_end_is_unknown_waits_for_a_person() {
    let mut site = Site::with_workers(3, 3, 4);
    submit(&mut site, "a", "once");
    site.run_until(URGENT, |site| !starts(site).is_empty()).expect("it starts");
    let (worker, ..) = starts(&site)[0];
    site.workers.stop(address(worker));
    site.run(Duration::from_secs(120));
    assert_eq!(state(&mut site), "unresolved");
    let now = site.now;
    let status = site.entry("c").engine.status(now);
    assert!(status.alerts.iter().any(|waiting| waiting.what.contains("j1")), "{status:?}");
    let engine = site.entry("a").engine.clone();
    block_on(engine.resolve(&stamp("resolve"), "j1", Resolution::Ran, now)).expect("it waits");
    site.run(Duration::from_secs(1));
    assert_eq!(state(&mut site), "succeeded");
}

#[test]
fn a_lease_is_renewed_only_while_the_table_answers() {
    let mut site = Site::with_workers(3, 3, 4);
    submit(&mut site, "a", "once");
    site.run_until(URGENT, |site| !starts(site).is_empty()).expect("it starts");
    let (worker, ..) = starts(&site)[0];
    site.run(Duration::from_secs(5));
    let renewals = |site: &Site| site.workers.with(address(worker), |worker| worker.renewals);
    let before = renewals(&site);
    assert!(before > 0, "it is renewed in health");
    site.memory.set("", Faults::DOWN);
    site.run(Duration::from_secs(5));
    let during = renewals(&site);
    site.run(Duration::from_secs(20));
    assert_eq!(renewals(&site), during, "none once the outage is known");
}

#[test]
fn a_job_that_can_never_run_is_refused_with_the_reason() {
    let mut site = Site::with_workers(3, 3, 4);
    let now = site.now;
    let engine = site.entry("a").engine.clone();
    let huge = block_on(engine.submit(&stamp("submit"), &submission("huge"), now));
    let Err(Error::Refused(reason)) = huge else { panic!("{huge:?}") };
    assert!(reason.contains("quota"), "{reason}");
}

#[test]
fn a_queued_job_is_explained_and_cancelled() {
    let mut site = Site::with_workers(3, 3, 4);
    site.memory.set("", Faults::NONE);
    submit(&mut site, "a", "urgent");
    let now = site.now;
    let engine = site.entry("a").engine.clone();
    let explained = engine.explain("j1", now).expect("it is known");
    assert!(!explained.reasons.is_empty());
    block_on(engine.cancel(&stamp("cancel"), "j1", now)).expect("it is not over");
    site.run(Duration::from_secs(5));
    assert_eq!(state(&mut site), "cancelled");
}
