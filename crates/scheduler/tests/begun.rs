//! A job has begun once an instance has started one of its runs, and not before.

mod site;

use cases::cases;
use scheduler::command::Refusal;
use scheduler::core::Verdict;
use scheduler::instance::Capacity;
use scheduler::job::Progress;
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

cases! {
    refused_jobs_count_as_waiting_after_a_change_of_leader;
    that_was_planned: &[true],
    that_was_not: &[false],
    in_a_series: &[true, false, false, true, false],
}

/// Guards against leaders that take a placement in a row for a start.
fn refused_jobs_count_as_waiting_after_a_change_of_leader(changes: &[bool]) {
    let mut site = nearly_full();
    site.fakes[FREE].refuses_starts = Some(Refusal::Unhealthy);
    submit_jobs(&mut site);
    site.run(ms(1_000));
    for &planned in changes {
        site.change_leader(planned);
        for _ in 0..15 {
            check(&mut site);
            site.run(ms(50));
        }
    }
    assert_eq!(site.core().waiting_jobs("oven") as u64, JOBS);
    site.fakes[FREE].refuses_starts = None;
    site.run(ms(8_000));
    check(&mut site);
    assert_eq!(site.core().waiting_jobs("oven"), 0);
}

cases! {
    jobs_that_have_begun_stay_so;
    when_their_instance_is_lost: (1_500, Some(20_000), &[false]),
    when_it_is_lost_before_a_series_of_leaders: (1_500, Some(20_000), &[true, false, false, true]),
    when_it_goes_on: (1_500, None, &[false, true]),
    when_it_is_lost_with_a_leader_that_steps_down_at_once: (100, Some(20_000), &[true]),
}

/// Guards against states that go back from running to pending when the leader changes, since no instance lists the
/// only run of a job any more.
fn jobs_that_have_begun_stay_so((after_ms, down_ms, changes): (u64, Option<u64>, &[bool])) {
    let mut site = nearly_full();
    submit_jobs(&mut site);
    site.run(ms(after_ms));
    assert_eq!(site.core().waiting_jobs("oven"), 0, "all have begun");
    let (now, mut monitor) = (site.now, std::mem::take(&mut site.monitor));
    if let Some(down_ms) = down_ms {
        site.fakes[FREE].crash(now, ms(down_ms), &mut monitor);
    }
    site.monitor = monitor;
    for &planned in changes {
        if planned {
            site.write_last();
        }
        site.change_leader(planned);
        for _ in 0..30 {
            if down_ms.is_some() {
                check(&mut site);
            }
            site.run(ms(50));
        }
        check(&mut site);
    }
}

cases! {
    a_row_of_a_former_build_tells_that_a_job_has_begun;
    not_by_a_placement: (r#"{"i":0,"r":1,"o":"i-1","b":7}"#, false),
    not_by_a_run_that_is_over: (r#"{"i":0,"r":3}"#, false),
    not_by_a_crash_before_a_start: (r#"{"i":0,"r":2,"x":1,"u":1}"#, false),
    by_a_task_that_is_done: (r#"{"i":0,"r":1,"d":true}"#, true),
    by_a_run_that_failed: (r#"{"i":0,"r":1,"f":1}"#, true),
    by_a_checkpoint: (r#"{"i":0,"r":2,"o":"i-1","c":"half"}"#, true),
    by_a_crash_after_a_start: (r#"{"i":0,"r":2,"x":2,"u":1}"#, true),
}

/// Guards against nodes and leaders that take the placements in such a row for starts.
fn a_row_of_a_former_build_tells_that_a_job_has_begun((task, begun): (&str, bool)) {
    let row = format!(r#"{{"state":"Active","queue":"oven","tasks":[{task}]}}"#);
    let row: Progress = serde_json::from_str(&row).expect("a row");
    assert_eq!(row.has_begun(), begun);
}
