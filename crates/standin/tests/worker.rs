//! The worker stand-in keeps the contract, and each of its faults shows.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use cases::cases;
use contract::Attempt;
use contract::Call;
use contract::Client;
use contract::Drain;
use contract::Health;
use contract::Lease;
use contract::Outcome;
use contract::Phase;
use contract::Reason;
use contract::Refusal;
use contract::Renew;
use contract::Report;
use contract::Size;
use contract::Start;
use contract::Target;
use contract::Throttle;
use fleet::time::Time;
use serde::de::DeserializeOwned;
use standin::worker::Faults;
use standin::worker::Settings;
use standin::worker::Worker;

const LEASE: Duration = Duration::from_secs(10);

fn at(secs: u64) -> Time {
    Time::from_secs(secs)
}

fn call<T: DeserializeOwned>(worker: &Worker, call: &Call, now: Time) -> Result<T, Reason> {
    let response = worker.handle(&call.to_request(), now);
    if response.status == 200 {
        return Ok(serde_json::from_slice(&response.body).expect("a whole answer"));
    }
    let refusal: Refusal = serde_json::from_slice(&response.body).expect("a refusal");
    assert_eq!(response.status, refusal.refused.status());
    Err(refusal.refused)
}

fn lease(worker: &Worker, now: Time) -> Lease {
    let health: Health = call(worker, &Call::Health, now).expect("healthy");
    Lease::new(health.now, LEASE)
}

fn start(job: &str, number: u32, lease: Lease) -> Start {
    let size = Size { milli_cores: 1_000, memory_mb: 1_024, accelerators: 1 };
    let input = r#"{"run_ms": 20000}"#.to_owned();
    Start { job: job.to_owned(), number, epoch: 1, lease, size, input, ..Start::default() }
}

fn target(job: &str, number: u32) -> Target {
    Target { job: job.to_owned(), number, epoch: 1 }
}

fn running() -> Worker {
    let worker = Worker::new(Settings::default(), 1);
    let start = start("job", 1, lease(&worker, at(1)));
    let attempt: Attempt = call(&worker, &Call::Start(start), at(1)).expect("started");
    assert_eq!(attempt.phase, Phase::Running);
    worker
}

fn phase(worker: &Worker, now: Time) -> Option<Phase> {
    let report: Report = call(worker, &Call::Report, now).expect("reports");
    report.attempts.first().map(|attempt| attempt.phase)
}

fn renew(worker: &Worker, now: Time) {
    let renew = Renew { epoch: 1, lease: lease(worker, now) };
    call::<Health>(worker, &Call::Renew(renew), now).expect("renewed");
}

#[test]
fn a_start_given_again_runs_once() {
    let worker = running();
    let again = start("job", 1, lease(&worker, at(2)));
    call::<Attempt>(&worker, &Call::Start(again), at(2)).expect("known");
    assert_eq!(worker.ledger().afresh("job"), 1);
}

fn start_refused(case: (fn(&Worker) -> Start, Reason)) {
    let (start, reason) = case;
    let worker = running();
    let start = start(&worker);
    assert_eq!(call::<Attempt>(&worker, &Call::Start(start.clone()), at(2)), Err(reason));
    assert_eq!(worker.ledger().afresh(&start.job), u32::from(start.job == "job"));
}

cases! {
    start_refused;
    old_epoch: (|worker| Start { epoch: 0, ..start("b", 1, lease(worker, at(2))) }, Reason::OldEpoch),
    old_attempt: (|worker| start("job", 0, lease(worker, at(2))), Reason::OldAttempt),
    no_room: (
        |worker| {
            let size = Size { accelerators: 4, ..Size::default() };
            Start { size, ..start("b", 1, lease(worker, at(2))) }
        },
        Reason::NoRoom,
    ),
    lapsed_on_the_way: (
        |worker| {
            let mut late = lease(worker, at(2));
            late.length_ms = 0;
            start("b", 1, late)
        },
        Reason::LeaseLapsed,
    ),
    other_boot: (
        |worker| {
            let mut other = lease(worker, at(2));
            other.from.boot += 1;
            start("b", 1, other)
        },
        Reason::OtherBoot,
    ),
    draining: (
        |worker| {
            let drain = Drain { epoch: 1, draining: true };
            call::<Health>(worker, &Call::Drain(drain), at(2)).expect("drained");
            start("b", 1, lease(worker, at(2)))
        },
        Reason::Draining,
    ),
}

#[test]
fn a_refused_start_stays_refused() {
    let worker = running();
    let drain = |draining| Call::Drain(Drain { epoch: 1, draining });
    call::<Health>(&worker, &drain(true), at(2)).expect("drained");
    let late = start("b", 1, lease(&worker, at(2)));
    let refused = call::<Attempt>(&worker, &Call::Start(late.clone()), at(2));
    assert_eq!(refused, Err(Reason::Draining));
    call::<Health>(&worker, &drain(false), at(3)).expect("back");
    let copy = call::<Attempt>(&worker, &Call::Start(late), at(3));
    assert_eq!(copy, Err(Reason::OldAttempt));
    let next = start("b", 2, lease(&worker, at(3)));
    call::<Attempt>(&worker, &Call::Start(next), at(3)).expect("the next attempt is another");
}

#[test]
fn a_late_copy_of_a_forgotten_attempt_does_not_run() {
    let worker = running();
    let copy = start("job", 1, lease(&worker, at(2)));
    call::<Attempt>(&worker, &Call::Stop(target("job", 1)), at(2)).expect("stopped");
    call::<Attempt>(&worker, &Call::Forget(target("job", 1)), at(2)).expect("forgotten");
    let refused = call::<Attempt>(&worker, &Call::Start(copy), at(3));
    assert_eq!(refused, Err(Reason::OldAttempt));
    assert_eq!(worker.ledger().afresh("job"), 1);
}

#[test]
fn attempts_end_with_their_lease() {
    let worker = running();
    assert_eq!(phase(&worker, at(10)), Some(Phase::Running));
    assert_eq!(phase(&worker, at(11)), Some(Phase::Stopped));
}

#[test]
fn a_renewal_keeps_them_and_a_late_one_does_not() {
    let worker = running();
    let early = Renew { epoch: 1, lease: lease(&worker, at(2)) };
    renew(&worker, at(9));
    assert_eq!(phase(&worker, at(18)), Some(Phase::Running));
    let late = call::<Health>(&worker, &Call::Renew(early), at(18));
    assert_eq!(late, Err(Reason::LeaseLapsed));
    assert_eq!(phase(&worker, at(19)), Some(Phase::Stopped));
}

#[test]
fn a_checkpointed_attempt_goes_on_elsewhere_for_the_rest() {
    let worker = running();
    renew(&worker, at(6));
    call::<Attempt>(&worker, &Call::Checkpoint(target("job", 1)), at(6)).expect("begun");
    assert_eq!(phase(&worker, at(6)), Some(Phase::Checkpointing));
    let report: Report = call(&worker, &Call::Report, at(7)).expect("reports");
    assert_eq!(report.attempts[0].phase, Phase::Checkpointed);
    let other = Worker::new(Settings::default(), 1);
    let checkpoint = report.attempts[0].checkpoint.clone();
    assert_eq!(checkpoint.as_deref(), Some("14000"));
    let rest = Start { checkpoint, ..start("job", 2, lease(&other, at(7))) };
    call::<Attempt>(&other, &Call::Start(rest), at(7)).expect("started");
    renew(&other, at(16));
    assert_eq!(phase(&other, at(21)), Some(Phase::Succeeded));
    assert_eq!(other.ledger().afresh("job"), 0);
}

fn fault(case: (Faults, fn(&Worker))) {
    let (faults, check) = case;
    let worker = Worker::new(Settings::default(), 1);
    let lease = lease(&worker, at(1));
    worker.set(faults);
    let response = worker.handle(&Call::Start(start("job", 1, lease)).to_request(), at(1));
    let lost = faults.loses_replies || faults.paused;
    assert_eq!(response.status, if lost { 502 } else { 200 });
    check(&worker);
}

fn throttled(worker: &Worker) -> u32 {
    let to = Size { milli_cores: 500, ..Size::default() };
    let throttle = Throttle { target: target("job", 1), to };
    call::<Attempt>(worker, &Call::Throttle(throttle), at(2)).expect("told");
    let report: Report = call(worker, &Call::Report, at(2)).expect("reports");
    report.attempts[0].usage.milli_cores
}

cases! {
    fault;
    none: (Faults::default(), |worker| assert_eq!(throttled(worker), 500)),
    fails_all: (
        Faults { fails_all: true, ..Faults::default() },
        |worker| assert_eq!(phase(worker, at(3)), Some(Phase::Failed)),
    ),
    lies_about_size: (
        Faults { lies_percent: 300, ..Faults::default() },
        |worker| {
            let report: Report = call(worker, &Call::Report, at(2)).expect("reports");
            assert_eq!(report.attempts[0].usage.memory_mb, 3_072);
        },
    ),
    lags: (
        Faults { lag_ms: 9_000, ..Faults::default() },
        |worker| {
            let report: Report = call(worker, &Call::Report, at(2)).expect("reports");
            assert_eq!(report.age_ms, 9_000);
        },
    ),
    loses_replies_and_runs_all_the_same: (
        Faults { loses_replies: true, ..Faults::default() },
        |worker| assert_eq!(worker.ledger().afresh("job"), 1),
    ),
    outlives_its_lease: (
        Faults { outlives_lease: true, ..Faults::default() },
        |worker| assert_eq!(phase(worker, at(15)), Some(Phase::Running)),
    ),
    paused_does_nothing: (
        Faults { paused: true, ..Faults::default() },
        |worker| {
            worker.set(Faults::default());
            assert_eq!(worker.ledger().afresh("job"), 0);
        },
    ),
    paused_past_its_lease: (
        Faults::default(),
        |worker| {
            worker.set(Faults { paused: true, ..Faults::default() });
            worker.set(Faults::default());
            assert_eq!(phase(worker, at(30)), Some(Phase::Stopped));
        },
    ),
    ignores_throttles: (
        Faults { ignores_throttles: true, ..Faults::default() },
        |worker| assert_eq!(throttled(worker), 1_000),
    ),
    ignores_checkpoints: (
        Faults { ignores_checkpoints: true, ..Faults::default() },
        |worker| {
            let checkpoint = Call::Checkpoint(target("job", 1));
            call::<Attempt>(worker, &checkpoint, at(2)).expect("told");
            assert_eq!(phase(worker, at(5)), Some(Phase::Running));
        },
    ),
    restarts_and_forgets: (
        Faults::default(),
        |worker| {
            let old = lease(worker, at(2));
            worker.restart(at(2));
            assert_eq!(phase(worker, at(3)), None);
            let again = call::<Attempt>(worker, &Call::Start(start("job", 1, old)), at(3));
            assert_eq!(again, Err(Reason::OtherBoot));
            assert_eq!(worker.ledger().afresh("job"), 1);
        },
    ),
}

#[test]
fn it_answers_on_an_address_of_its_own() {
    let executor: Arc<Executor<'static>> = Arc::default();
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (worker, address) =
        Worker::bind(&executor, loopback, Settings::default()).expect("loopback");
    let client = Client::new(address, Duration::from_secs(5));
    async_io::block_on(executor.run(async {
        let health = client.health().await.done().expect("healthy");
        let lease = Lease::new(health.now, LEASE);
        let started = client.start(start("job", 1, lease)).await.done().expect("started");
        assert_eq!(started.phase, Phase::Running);
        worker.set(Faults { loses_replies: true, ..Faults::default() });
        assert!(client.start(start("b", 1, lease)).await.is_unknown());
        worker.set(Faults::default());
        let old = Target { epoch: 0, ..target("job", 1) };
        let refused = client.stop(old).await;
        assert!(matches!(refused, Outcome::Refused(no) if no.refused == Reason::OldEpoch));
        assert_eq!(client.report().await.done().expect("reports").attempts.len(), 2);
    }));
    assert_eq!(worker.ledger().afresh("b"), 1);
}
