//! When an instance is suspended for failures, and for how long.

use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use scheduler::Tuning;
use scheduler::instance::Failure;
use scheduler::instance::Trust;
use scheduler::job::Id;

const NOW: Time = Time::from_secs(100);

fn id(number: u64) -> Id {
    format!("{number:016x}").parse().expect("16 digits")
}

/// Records failures of runs that all began a second ago; returns the suspensions that follow.
fn suspensions(trust: &mut Trust, failures: &[Failure]) -> Vec<Duration> {
    let began = NOW - Duration::from_secs(1);
    let tuning = Tuning::default();
    failures.iter().filter_map(|it| trust.record_failure(NOW, *it, began, &tuning)).collect()
}

cases! {
    suspends;
    two_jobs: (vec![Failure::Job(id(1)), Failure::Job(id(2))], true),
    one_job_with_many_tasks: (vec![Failure::Job(id(1)); 8], false),
    four_suspect_jobs: ((1..5).map(|n| Failure::Suspect(id(n))).collect(), true),
    two_suspect_jobs_with_many_tasks: ((0..8).map(|n| Failure::Suspect(id(n % 2))).collect(), false),
    two_refused_starts: (vec![Failure::Refusal; 2], true),
    three_starts_without_answer: (vec![Failure::Silence; 3], false),
    four_starts_without_answer: (vec![Failure::Silence; 4], true),
}

fn suspends((failures, suspended): (Vec<Failure>, bool)) {
    let mut trust = Trust::default();
    suspensions(&mut trust, &failures);
    assert_eq!(trust.is_suspended(NOW), suspended, "{trust:?}");
}

#[test]
fn runs_that_fail_together_suspend_their_instance_once() {
    let mut trust = Trust::default();
    let failures: Vec<Failure> = (0..8).map(|n| Failure::Job(id(n))).collect();
    let first = Tuning::default().probation;
    assert_eq!(suspensions(&mut trust, &failures), [first]);
    assert_eq!(trust.suspended_until(), NOW + first);
}

#[test]
fn a_failed_trial_doubles_the_suspension() {
    let mut trust = Trust::default();
    suspensions(&mut trust, &[Failure::Refusal, Failure::Refusal]);
    let tuning = Tuning::default();
    let later = trust.suspended_until() + Duration::from_millis(200);
    assert!(trust.is_on_probation(later));
    let began = trust.suspended_until();
    let second = trust.record_failure(later, Failure::Job(id(1)), began, &tuning);
    assert_eq!(second, Some(tuning.probation * 2));
}

#[test]
fn a_probation_ends_without_a_success() {
    let mut trust = Trust::default();
    suspensions(&mut trust, &[Failure::Refusal, Failure::Refusal]);
    let end = NOW + Tuning::default().probation * 2;
    assert!(!trust.is_suspended(end) && !trust.is_on_probation(end));
}
