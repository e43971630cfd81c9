//! A job has begun once an instance has started one of its runs, and not before.

mod site;

use cases::cases;
use scheduler::command::Refusal;
use scheduler::core::Verdict;
use scheduler::instance::Capacity;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Jobs that wait for the only instance with room.
const JOBS: u64 = 14;

/// Index of that instance.
const FREE: usize = 1;

/// A site with one instance that is full and one that is free.
fn nearly_full() -> Site {
    let fakes = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 7);
    site.fakes[FREE].capacity = Capacity { cpu: 16_000, ..site.fakes[FREE].capacity };
    site.run(ms(200));
    site.fakes[FREE].draining = true;
    site.run(ms(600));
    let fills = Step { long_running: true, ..step(8, 500) };
    assert_eq!(site.submit(100, "oven", spec(vec![fills])), Verdict::Store);
    site.run(ms(500));
    assert_eq!(site.fakes[0].runs(), 8);
    site.fakes[FREE].draining = false;
    site.run(ms(600));
    site
}

fn submit_jobs(site: &mut Site) {
    for number in 1..=JOBS {
        let lasting = Step { long_running: true, ..step(1, 500) };
        assert_eq!(site.submit(number, "oven", spec(vec![lasting])), Verdict::Store);
    }
}

/// Panics unless the jobs that have begun, as their callers see it, are those of which an instance has started a run.
fn check(site: &mut Site) {
    let begun = (1..=JOBS).filter(|&number| site.monitor.has_begun(id(number)));
    let begun: Vec<u64> = begun.collect();
    let core = site.core();
    let known = (1..=JOBS).filter(|&number| core.job(id(number)).unwrap().begun.is_known());
    assert_eq!(known.collect::<Vec<_>>(), begun, "jobs that have begun");
    assert_eq!(core.waiting_jobs("oven") as u64, JOBS - begun.len() as u64, "waiting jobs");
}

/// Panics unless all jobs wait while nothing starts, and have begun some seconds after `recover`.
fn check_waiting(mut site: Site, recover: impl FnOnce(&mut Site)) {
    submit_jobs(&mut site);
    for _ in 0..50 {
        site.run(ms(100));
        check(&mut site);
    }
    assert_eq!(site.core().waiting_jobs("oven") as u64, JOBS);
    recover(&mut site);
    site.run(ms(8_000));
    check(&mut site);
    assert_eq!(site.core().waiting_jobs("oven"), 0);
}

cases! {
    refused_jobs_count_as_waiting;
    as_the_instance_is_unhealthy: Refusal::Unhealthy,
    for_want_of_room: Refusal::Room,
    as_the_lease_is_over: Refusal::Late,
    for_a_ticket: Refusal::Ticket,
    as_the_command_is_malformed: Refusal::Malformed,
    as_the_token_is_too_low: Refusal::Fence,
    as_a_run_has_ended_there: Refusal::Old,
    as_the_process_is_another: Refusal::Incarnation,
}

/// Guards against counts and states that take a start command for a start (review, case 14).
fn refused_jobs_count_as_waiting(refusal: Refusal) {
    let mut site = nearly_full();
    site.fakes[FREE].refuses_starts = Some(refusal);
    check_waiting(site, |site| site.fakes[FREE].refuses_starts = None);
}

/// Guards against counts and states that take a start command without an answer for a start.
#[test]
fn jobs_without_an_answer_count_as_waiting() {
    let mut site = nearly_full();
    site.fakes[FREE].ignores_starts = true;
    check_waiting(site, |site| site.fakes[FREE].ignores_starts = false);
}
