//! Tests of lost workers: the state of an attempt is unknown until its lease has expired, and a job
//! that may not run twice is not started again.

use std::time::Duration;

use cases::cases;
use fleet::instance;
use fleet::job;
use fleet::job::End;
use fleet::job::Fault;
use fleet::job::Obstacle;
use fleet::job::Resolution;
use fleet::job::State;
use fleet::job::Symptom;

use crate::site::Site;
use crate::site::size;
use crate::site::spec;
use crate::worker::Faults;

const LEASE_EXPIRED: Duration = Duration::from_secs(40);

/// A site of two instances with a job that has just started on the first.
fn running(idempotent: bool) -> Site {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(8, 16, 0));
    let spec = fleet::config::Job { idempotent, seconds: 300, ..spec("main", 4, 4, 0) };
    site.submit("job", "all", "kind", &spec).expect("fits");
    site.run(Duration::from_secs(5));
    assert_eq!(site.fresh_runs["job"], 1);
    site.add_instances("main", 1, size(8, 16, 0));
    site
}

fn disconnect(site: &mut Site) {
    site.worker("main-0").faults = Faults { unreachable: true, ..Faults::default() };
}

#[test]
fn an_idempotent_job_runs_elsewhere_once_the_lease_has_expired() {
    let mut site = running(true);
    disconnect(&mut site);
    site.run(Duration::from_secs(30));
    assert!(
        matches!(site.job("job").state, State::Unknown(_, loss) if loss.symptom == Symptom::Unresponsive)
    );
    for _ in 0..60 {
        site.tick();
        site.check_not_concurrent();
    }
    assert_eq!(site.placement("job"), Some("main-1"));
    assert_eq!(site.fresh_runs["job"], 2);
}

#[test]
fn a_job_that_may_not_run_twice_needs_an_operator() {
    let mut site = running(false);
    disconnect(&mut site);
    site.run(LEASE_EXPIRED);
    assert!(matches!(site.job("job").state, State::Unresolved(_)));
    assert_eq!(site.index.booked(site.instance("main-0")), job::Total::default());
    let explained = job::explain(&site.world, &site.index, site.key("job"), site.now);
    let obstacles = explained.expect("known").obstacles;
    assert!(matches!(obstacles[..], [Obstacle::Unresolved { number: 1, .. }]));
    let alerts = job::alerts(&site.world, &site.index, site.now);
    assert_eq!(alerts.len(), 1);
    assert!(alerts[0].to_string().contains("may have run on main-0"));
    site.run(Duration::from_secs(600));
    assert_eq!(site.fresh_runs["job"], 1);
    site.check_once();
}

fn resolved(case: (Resolution, fn(&State) -> bool)) {
    let (resolution, expected) = case;
    let mut site = running(false);
    disconnect(&mut site);
    site.run(LEASE_EXPIRED);
    let decision = job::resolve(&site.world, site.key("job"), resolution).expect("unresolved");
    assert!(site.apply(&decision));
    assert!(expected(&site.job("job").state));
    assert!(!site.apply(&decision), "it can only be settled once");
    site.check();
}

cases! {
    resolved;
    requeued: (Resolution::Requeue, |state| matches!(state, State::Queued)),
    succeeded: (Resolution::Succeeded, |state| matches!(state, State::Done(End::Succeeded))),
    failed: (
        Resolution::Failed,
        |state| matches!(state, State::Done(End::Failed(Fault::Operator))),
    ),
}

#[test]
fn a_worker_that_comes_back_settles_an_unresolved_job() {
    let mut site = running(false);
    site.worker("main-0").faults =
        Faults { unreachable: true, outlives_lease: true, ..Faults::default() };
    site.run(LEASE_EXPIRED);
    assert!(matches!(site.job("job").state, State::Unresolved(_)));
    site.worker("main-0").faults.unreachable = false;
    site.run(Duration::from_secs(2));
    assert!(matches!(site.job("job").state, State::Running(_)));
    site.run(Duration::from_secs(300));
    assert!(matches!(site.job("job").state, State::Done(End::Succeeded)));
    assert_eq!(site.fresh_runs["job"], 1);
}

#[test]
fn a_worker_that_answers_again_in_time_goes_on() {
    let mut site = running(false);
    disconnect(&mut site);
    site.run(Duration::from_secs(10));
    assert!(matches!(site.job("job").state, State::Unknown(..)));
    site.worker("main-0").faults.unreachable = false;
    site.run(Duration::from_secs(300));
    assert!(matches!(site.job("job").state, State::Done(End::Succeeded)));
    assert_eq!(site.fresh_runs["job"], 1);
}

#[test]
fn an_attempt_has_ended_once_its_worker_restarts() {
    let mut site = running(true);
    site.worker("main-0").restart();
    site.run(Duration::from_secs(3));
    assert_eq!(site.fresh_runs["job"], 2);
    let mut site = running(false);
    site.worker("main-0").restart();
    site.run(LEASE_EXPIRED);
    assert!(matches!(site.job("job").state, State::Unresolved(_)));
    assert_eq!(site.fresh_runs["job"], 1);
}

#[test]
fn a_worker_that_restarts_just_after_a_start_gets_no_second_start() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(8, 16, 0));
    let once = fleet::config::Job { idempotent: false, ..spec("main", 4, 4, 0) };
    site.submit("once", "all", "kind", &once).expect("fits");
    site.run(Duration::from_millis(750));
    assert_eq!(site.fresh_runs["once"], 1);
    site.worker("main-0").restart();
    site.run(Duration::from_secs(60));
    site.check_once();
}

#[test]
fn a_lost_start_command_is_sent_again() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(8, 16, 0));
    site.tick();
    site.worker("main-0").faults = Faults { drops_commands: true, ..Faults::default() };
    site.submit("job", "all", "kind", &spec("main", 4, 4, 0)).expect("fits");
    site.run(Duration::from_secs(2));
    site.worker("main-0").faults = Faults::default();
    site.run(Duration::from_secs(1));
    assert_eq!(site.fresh_runs["job"], 1);
    assert_eq!(site.job("job").last_attempt, 1);
}

#[test]
fn an_attempt_that_its_worker_never_lists_is_lost_and_settled_by_a_later_report() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(8, 16, 0));
    site.tick();
    site.worker("main-0").faults = Faults { drops_commands: true, ..Faults::default() };
    site.submit("job", "all", "kind", &spec("main", 4, 4, 0)).expect("fits");
    site.run(Duration::from_secs(5));
    assert!(
        matches!(site.job("job").state, State::Unknown(_, loss) if loss.symptom == Symptom::Missing)
    );
    site.worker("main-0").faults = Faults::default();
    site.run(LEASE_EXPIRED);
    assert_eq!(site.job("job").last_attempt, 2);
    assert_eq!(site.fresh_runs["job"], 1);
}

#[test]
fn another_holder_of_the_duty_waits_a_whole_lease_by_its_own_clock() {
    let mut site = running(true);
    disconnect(&mut site);
    site.run(Duration::from_secs(30));
    site.world.clock_id = 2;
    site.now = site.now + Duration::from_secs(3_600);
    site.index = job::Index::build(&site.world);
    site.tick();
    let State::Unknown(_, loss) = site.job("job").state else { panic!("the state is not unknown") };
    assert_eq!(loss.clock_id, 2);
    assert!(loss.until >= site.now + Duration::from_secs(30));
    site.run(Duration::from_secs(25));
    assert!(matches!(site.job("job").state, State::Unknown(..)));
    site.run(Duration::from_secs(10));
    assert_eq!(site.fresh_runs["job"], 2);
}

#[test]
fn without_a_clock_id_no_lease_ever_expires() {
    let mut site = running(true);
    site.world.clock_id = 0;
    disconnect(&mut site);
    site.run(Duration::from_secs(600));
    assert!(matches!(site.job("job").state, State::Unknown(..)));
}

#[test]
fn a_job_that_loses_worker_after_worker_is_parked() {
    let mut site = running(true);
    site.add_instances("main", 8, size(8, 16, 0));
    for _ in 0..4 {
        let place = site.placement("job").expect("running").to_owned();
        site.worker(&place).faults.unreachable = true;
        site.run(Duration::from_secs(50));
    }
    assert!(matches!(site.job("job").state, State::Parked(Fault::LosesWorkers)));
    site.check();
}

#[test]
fn a_lost_job_that_is_cancelled_ends_with_its_lease() {
    let mut site = running(false);
    disconnect(&mut site);
    site.run(Duration::from_secs(10));
    let decision = job::cancel(&site.world, site.key("job")).expect("the job has not ended");
    site.apply(&decision);
    assert!(matches!(site.job("job").state, State::Unknown(..)));
    site.run(LEASE_EXPIRED);
    assert!(matches!(site.job("job").state, State::Done(End::Cancelled)));
}

#[test]
fn attempts_on_a_gone_instance_count_as_lost() {
    let mut site = running(true);
    disconnect(&mut site);
    site.set_state("main-0", instance::State::Gone);
    site.tick();
    assert!(matches!(site.job("job").state, State::Unknown(..)));
    site.run(LEASE_EXPIRED);
    assert_eq!(site.placement("job"), Some("main-1"));
}

#[test]
fn a_start_is_recorded_before_its_command_is_sent() {
    let mut site = Site::unlimited();
    site.add_instances("main", 1, size(8, 16, 0));
    site.submit("job", "all", "kind", &spec("main", 4, 4, 0)).expect("fits");
    site.tick();
    assert!(matches!(site.job("job").state, State::Running(_)));
    assert!(!site.fresh_runs.contains_key("job"));
    site.tick();
    assert_eq!(site.fresh_runs["job"], 1);
}
