//! Jobs from submission to their end, during failures.

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

/// Maximum time until an urgent job starts.
const MAX_START_TIME: Duration = Duration::from_millis(4_600);

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
    block_on(engine.submit(&stamp("submit"), &submission(kind), now)).expect("the job is accepted");
}

/// Every start command that a worker received: worker index, job name and attempt number.
fn starts(site: &Site) -> Vec<(u16, String, u32)> {
    let starts_of = |index: u16| {
        let starts = site.workers.with(address(index), |worker| worker.starts.clone());
        starts.into_iter().map(move |(job, number)| (index, job, number))
    };
    let mut starts: Vec<_> = (0..4).flat_map(starts_of).collect();
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
    let started = site.run_until(MAX_START_TIME, |site| !starts(site).is_empty());
    assert!(started.is_some(), "the job has not started in time");
    let (worker, job, number) = starts(&site)[0].clone();
    site.workers.with(address(worker), |worker| {
        worker.attempts.get_mut(&(job, number)).expect("the attempt is running").phase =
            Phase::Succeeded;
    });
    site.run(Duration::from_secs(3));
    assert_eq!(state(&mut site), "succeeded");
    assert_eq!(starts(&site).len(), 1);
    let left = site.workers.with(address(worker), |worker| worker.attempts.len());
    assert_eq!(left, 0, "the worker was not told to forget the attempt");
}

#[test]
fn urgent_work_starts_in_time_although_the_holder_fails() {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    let other =
        ["a", "b", "c"].into_iter().find(|name| *name != holder).expect("there are other entries");
    site.pause(&holder);
    submit(&mut site, other, "urgent");
    let started = site.run_until(MAX_START_TIME, |site| !starts(site).is_empty());
    assert!(started.is_some(), "the job has not started in time");
}

/// What goes wrong after a start command.
#[derive(Clone, Copy)]
enum Fault {
    AnswerLost,
    WorkerRestarts,
    HolderDiesAfterStart,
}

cases::cases! {
    a_job_that_may_not_run_twice_does_not;
    a_job_does_not_run_twice_when_the_answer_to_its_start_is_lost: Fault::AnswerLost,
    a_job_does_not_run_twice_when_its_worker_restarts: Fault::WorkerRestarts,
    a_job_does_not_run_twice_when_its_holder_dies: Fault::HolderDiesAfterStart,
}

fn a_job_that_may_not_run_twice_does_not(fault: Fault) {
    let mut site = Site::with_workers(3, 3, 4);
    let holder = site.holder(&pool_duty()).expect("the duty has a holder");
    submit(&mut site, &holder, "once");
    site.run_until(MAX_START_TIME, |site| !starts(site).is_empty()).expect("the job starts");
    let (worker, ..) = starts(&site)[0];
    match fault {
        Fault::AnswerLost => {
            site.workers.with(address(worker), |worker| worker.loses_answers = true)
        }
        Fault::WorkerRestarts => site.workers.start(address(worker)),
        Fault::HolderDiesAfterStart => site.pause(&holder),
    }
    site.run(Duration::from_secs(60));
    let again: Vec<_> = starts(&site).into_iter().filter(|(_, _, number)| *number > 1).collect();
    assert!(again.is_empty(), "{again:?}");
}

#[test]
fn a_job_whose_end_is_unknown_waits_for_an_operator() {
    let mut site = Site::with_workers(3, 3, 4);
    submit(&mut site, "a", "once");
    site.run_until(MAX_START_TIME, |site| !starts(site).is_empty()).expect("the job starts");
    let (worker, ..) = starts(&site)[0];
    site.workers.stop(address(worker));
    site.run(Duration::from_secs(120));
    assert_eq!(state(&mut site), "unresolved");
    let now = site.now;
    let status = site.entry("c").engine.status(now);
    assert!(status.alerts.iter().any(|alert| alert.what.contains("j1")), "{status:?}");
    let engine = site.entry("a").engine.clone();
    block_on(engine.resolve(&stamp("resolve"), "j1", Resolution::Ran, now))
        .expect("the job waits for a resolution");
    site.run(Duration::from_secs(1));
    assert_eq!(state(&mut site), "succeeded");
}

#[test]
fn a_lease_is_renewed_only_while_the_table_answers() {
    let mut site = Site::with_workers(3, 3, 4);
    submit(&mut site, "a", "once");
    site.run_until(MAX_START_TIME, |site| !starts(site).is_empty()).expect("the job starts");
    let (worker, ..) = starts(&site)[0];
    site.run(Duration::from_secs(5));
    let renewals = |site: &Site| site.workers.with(address(worker), |worker| worker.renewals);
    let before = renewals(&site);
    assert!(before > 0, "the lease was not renewed before the outage");
    site.memory.set("", Faults::DOWN);
    site.run(Duration::from_secs(5));
    let during = renewals(&site);
    site.run(Duration::from_secs(20));
    assert_eq!(renewals(&site), during, "the lease was renewed although the outage was known");
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
    let explained = engine.explain("j1", now).expect("the job is known");
    assert!(!explained.reasons.is_empty());
    block_on(engine.cancel(&stamp("cancel"), "j1", now)).expect("the job has not ended");
    site.run(Duration::from_secs(5));
    assert_eq!(state(&mut site), "cancelled");
}
