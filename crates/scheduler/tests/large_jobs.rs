//! Jobs whose progress exceeds a row or a write of the store, and jobs that the store refuses.

mod site;

use cases::cases;
use scheduler::core::Limits;
use scheduler::job::Phase;
use scheduler::job::Placement;
use scheduler::job::Progress;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::part;
use scheduler::job::part::Part;
use site::Fake;
use site::LIMITS;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// The most tasks that a job may have.
const MAX_TASKS: u32 = 2_000;

fn pool(instances: usize) -> Site {
    let fakes = (0..instances).map(|n| {
        let mut fake = Fake::new(&format!("i-{n:010}"), "oven", &format!("r{n}"));
        fake.capacity.cpu = 8_000_000;
        fake.capacity.memory = 8_000_000;
        fake.incarnation = 1_769_602_688_647;
        fake
    });
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    site.run(ms(600));
    site
}

/// Accepts the largest job, all tasks of which run.
fn run_largest_job(site: &mut Site, step_of: impl Fn(Step) -> Step) {
    for fake in &mut site.fakes {
        fake.default_duration_ms = 6_000;
    }
    site.submit(1, "oven", spec(vec![step_of(step(MAX_TASKS, 6_000))]));
    site.run(ms(3_000));
    assert_eq!(site.monitor.running(id(1)), MAX_TASKS as usize, "all tasks have started");
    for fake in &mut site.fakes {
        fake.default_duration_ms = 500;
    }
}

fn long_running(count: u32) -> Step {
    Step { long_running: true, ..step(count, 500) }
}

/// Guards against a job whose progress exceeds a row, so that no change of any job is stored any more, and the
/// next leader starts tasks of cancelled jobs.
#[test]
fn a_large_job_keeps_no_other_change_from_the_store() {
    let mut site = pool(4);
    site.submit(2, "oven", spec(vec![long_running(4)]));
    site.run(ms(600));
    run_largest_job(&mut site, |step| step);
    assert_eq!(site.refused_writes, 0);
    let now = site.now;
    site.core().cancel(now, id(2));
    site.submit(3, "oven", spec(vec![step(4, 500)]));
    site.run(ms(1_500));
    assert_eq!(site.progress[&id(2)].state, State::Cancelled);
    assert!(site.completed.contains_key(&id(3)), "a small job is completed beside it");
    assert_eq!(site.monitor.running(id(2)), 0);
    site.change_leader(false);
    site.run(ms(9_000));
    assert!(site.completed.contains_key(&id(1)), "the large job is completed");
    assert_eq!(site.monitor.running(id(2)), 0);
    assert_eq!(site.refused_writes, 0);
    site.monitor.check();
}

cases! {
    the_next_leader_knows_all_runs_of_a_large_job;
    after_an_orderly_change: (true, LIMITS),
    after_a_crash: (false, LIMITS),
    written_in_many_writes: (true, Limits { bytes: 100_000, ..LIMITS }),
    written_in_many_writes_before_a_crash: (false, Limits { bytes: 100_000, ..LIMITS }),
    written_row_by_row: (false, Limits { rows: 3, ..LIMITS }),
}

/// Guards against runs in further rows of a job that the next leader does not know of.
fn the_next_leader_knows_all_runs_of_a_large_job((stepped_down, limits): (bool, Limits)) {
    let mut site = pool(4);
    site.limits = limits;
    run_largest_job(&mut site, |step| step);
    assert!(site.progress_rows.len() > 2, "{} rows", site.progress_rows.len());
    site.change_leader(stepped_down);
    site.run(ms(300));
    let core = site.core();
    let job = core.job(id(1)).expect("the job");
    let running = job.tasks.iter().filter(|task| matches!(task.phase, Phase::Running(_)));
    assert_eq!(running.count(), MAX_TASKS as usize);
    site.run(ms(9_000));
    assert_eq!(site.monitor.starts, u64::from(MAX_TASKS), "no task has started again");
    assert!(site.completed.contains_key(&id(1)), "the job is completed");
    assert_eq!(site.progress_rows.len(), 1, "one row is left");
    assert_eq!(site.refused_writes, 0);
    site.monitor.check();
}

/// A gang starts as a whole, although several writes record it.
#[test]
fn a_large_gang_starts_as_a_whole_after_the_last_of_its_writes() {
    let mut site = pool(4);
    site.limits = Limits { bytes: 100_000, ..LIMITS };
    run_largest_job(&mut site, |step| Step { gang: true, ..step });
    site.run(ms(9_000));
    assert!(site.completed.contains_key(&id(1)), "the job is completed");
    assert_eq!(site.monitor.starts, u64::from(MAX_TASKS));
    site.monitor.check();
}

cases! {
    jobs_go_on_beside_one_that_the_store_refuses;
    that_runs: true,
    that_is_not_accepted_yet: false,
}

/// Guards against a row that the store refuses for good, which keeps all other changes from it.
fn jobs_go_on_beside_one_that_the_store_refuses(runs: bool) {
    let mut site = pool(2);
    for number in 10..14 {
        site.submit(number, "oven", spec(vec![long_running(2)]));
    }
    site.submit(1, "oven", spec(vec![step(4, 6_000)]));
    if runs {
        site.run(ms(600));
    }
    site.refused_jobs.push(id(1));
    for number in 20..40 {
        site.submit(number, "oven", spec(vec![step(4, 500)]));
        site.run(ms(20));
    }
    site.run(ms(2_500));
    for number in 20..40 {
        assert!(site.completed.contains_key(&id(number)), "job {number} is completed");
    }
    let now = site.now;
    site.core().cancel(now, id(10));
    site.run(ms(300));
    assert_eq!(site.progress[&id(10)].state, State::Cancelled);
    if !runs {
        assert_eq!(site.state(1), None, "it was never accepted");
        return;
    }
    assert!(site.refused_writes < 20, "{} refused writes", site.refused_writes);
    site.refused_jobs.clear();
    site.run(ms(9_000));
    assert!(site.completed.contains_key(&id(1)), "it is completed once the store takes it");
    site.monitor.check();
}

fn progress(tasks: impl IntoIterator<Item = u32>, checkpoint: usize) -> Progress {
    let tasks = tasks.into_iter().map(|index| Placement {
        index,
        run: index + 1,
        instance: format!("i-{index:010}"),
        incarnation: 1_769_602_688_647,
        checkpoint: "c".repeat(checkpoint),
        ..Placement::default()
    });
    let tasks: Vec<Placement> = tasks.collect();
    Progress {
        state: State::Active,
        queue: "oven".to_owned(),
        tenant: "ladoo".to_owned(),
        begun: !tasks.is_empty(),
        tasks,
        ..Progress::default()
    }
}

cases! {
    rows_fit_and_hold_all_tasks;
    no_tasks: (progress([], 0), 1_000),
    one_row: (progress(0..200, 16), 49_152),
    all_tasks: (progress(0..2_000, 16), 49_152),
    small_rows: (progress(0..2_000, 16), 4_096),
    long_checkpoints: (progress(0..100, 5_000), 49_152),
    a_first_task_that_is_far: (progress([700, 1_999], 40_000), 49_152),
    tasks_that_take_a_row_each: (progress(0..4, 45_000), 49_152),
}

fn rows_fit_and_hold_all_tasks((progress, max): (Progress, usize)) {
    let parts = part::split(id(1), &progress, max);
    assert!(parts.iter().all(|part| part.value.len() <= max), "a row is too long");
    assert_eq!(parts[0].first, 0);
    let rows: Vec<(String, &[u8])> =
        parts.iter().map(|part| (Part::key(id(1), part.first), part.value.as_slice())).collect();
    let mut rows: Vec<(&str, &[u8])> = rows.iter().map(|(key, row)| (key.as_str(), *row)).collect();
    rows.sort_unstable();
    let assembly = part::assemble(rows);
    assert!(assembly.unreadable.is_empty(), "{:?}", assembly.unreadable);
    let assembled = &assembly.progress[&id(1)];
    assert_eq!(assembled.tasks, progress.tasks);
    assert_eq!(assembled.tenant, progress.tenant);
    assert_eq!(assembled.has_begun(), !progress.tasks.is_empty());
    // Nodes that answer without a leader read this row alone.
    let head: Progress = serde_json::from_slice(&parts[0].value).expect("a row");
    assert_eq!(head.has_begun(), assembled.has_begun());
    let further = assembly.digests.get(&id(1)).map_or(0, |digests| digests.len());
    assert_eq!(1 + further, parts.len());
}

/// A checkpoint that no row can hold does not keep the task's run from the store.
#[test]
fn a_checkpoint_that_is_longer_than_a_row_is_left_out() {
    let parts = part::split(id(1), &progress([3], 60_000), 49_152);
    let rows = parts.iter().map(|part| (Part::key(id(1), part.first), part.value.clone()));
    let rows: Vec<(String, Vec<u8>)> = rows.collect();
    let assembly = part::assemble(rows.iter().map(|(key, row)| (key.as_str(), row.as_slice())));
    let task = &assembly.progress[&id(1)].tasks[0];
    assert_eq!((task.index, task.run, task.checkpoint.as_str()), (3, 4, ""));
}

/// Rows that are left from before the tasks were spread over others hide no newer run.
#[test]
fn an_obsolete_row_hides_no_newer_run() {
    let mut newer = progress(0..300, 100);
    newer.tasks.iter_mut().for_each(|task| task.run += 1);
    let older = part::split(id(1), &progress(0..300, 150), 20_000);
    let newer_parts = part::split(id(1), &newer, 20_000);
    let mut rows = std::collections::BTreeMap::new();
    for part in older.iter().chain(&newer_parts) {
        rows.insert(Part::key(id(1), part.first), part.value.clone());
    }
    assert!(rows.len() > newer_parts.len(), "an obsolete row is left");
    let assembly = part::assemble(rows.iter().map(|(key, row)| (key.as_str(), row.as_slice())));
    assert_eq!(assembly.progress[&id(1)].tasks, newer.tasks);
}

/// Rows written by older builds, which know of one row for each job.
#[test]
fn a_row_of_an_older_build_is_read() {
    let key = id(1).to_string();
    let row = br#"{"state":"Active","queue":"oven","tasks":[{"i":0,"r":2,"o":"i-1","b":7}]}"#;
    let assembly = part::assemble([(key.as_str(), row.as_slice()), ("other", b"{}".as_slice())]);
    assert_eq!(assembly.progress[&id(1)].tasks[0].instance, "i-1");
    let again = part::split(id(1), &assembly.progress[&id(1)], 49_152);
    assert_eq!(again[0].value, row);
}
