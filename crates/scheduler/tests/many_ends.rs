//! An instance has ended more runs than one answer to a heartbeat lists.

mod site;

use scheduler::job::TaskName;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// More than two answers list.
const TASKS: u32 = 1_200;

/// Two instances, one of which runs all tasks of a job at once. The store holds the job, and does not answer
/// while its tasks start and end.
fn ends_without_a_record() -> Site {
    let fakes = (0..2).map(|n| {
        let mut fake = Fake::new(&format!("i-{n}"), "oven", &format!("r{n}"));
        fake.capacity.cpu = 2_000_000;
        fake.capacity.memory = 2_000_000;
        fake.default_duration_ms = 300;
        fake
    });
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    site.fakes[1].draining = true;
    site.run(ms(600));
    site.write_time = ms(80);
    site.submit(1, "oven", spec(vec![step(TASKS, 300)]));
    // The job is being stored; its tasks are not placed yet.
    site.run(ms(60));
    site.store_down_until = site.now + ms(4_000);
    site.run(ms(3_500));
    assert_eq!(site.monitor.starts, u64::from(TASKS), "all tasks have started");
    assert_eq!(site.fakes[0].unforgotten_ends(), TASKS as usize, "all have ended");
    assert!(site.progress.values().all(|row| row.tasks.is_empty()), "no start is recorded");
    site.fakes[1].draining = false;
    site
}

/// Guards against a second run of tasks whose ends the first answer to the next leader does not list.
#[test]
fn tasks_that_are_done_are_not_started_again_behind_a_full_list_of_ends() {
    let mut site = ends_without_a_record();
    site.store_down_until = site.now;
    site.write_time = ms(6);
    site.change_leader(false);
    site.run(ms(4_500));
    site.monitor.check();
    assert_eq!(site.monitor.starts, u64::from(TASKS));
    assert!(site.completed.contains_key(&id(1)), "the job is completed");
    assert_eq!(site.fakes[0].unforgotten_ends(), 0, "all ends are taken note of");
}

/// The same if writes to the store take long, so that the instance is asked again before they are done.
#[test]
fn nor_while_writes_are_slow() {
    let mut site = ends_without_a_record();
    site.store_down_until = site.now;
    site.write_time = ms(400);
    site.change_leader(false);
    site.run(ms(6_000));
    site.monitor.check();
    assert_eq!(site.monitor.starts, u64::from(TASKS));
    assert!(site.completed.contains_key(&id(1)), "the job is completed");
}

/// Guards against ends that wait unseen since the instance has nothing left to run.
#[test]
fn the_rest_of_the_ends_is_asked_for_although_nothing_runs() {
    let mut site = ends_without_a_record();
    // The same leader goes on.
    site.store_down_until = site.now;
    site.write_time = ms(6);
    site.run(ms(4_500));
    assert!(site.completed.contains_key(&id(1)), "the job is completed");
    assert_eq!(site.fakes[0].unforgotten_ends(), 0, "all ends are taken note of");
    site.monitor.check();
}

/// Guards against ends that the instance goes on listing, since the last heartbeat came before the write.
#[test]
fn an_idle_instance_is_told_that_its_ends_are_stored() {
    for interval in 0..60 {
        let mut site = Site::new(&["oven"], vec![Fake::new("i-0", "oven", "r0")], 1);
        site.run(ms(300));
        site.fakes[0].default_duration_ms = 100 + interval;
        site.submit(1, "oven", spec(vec![step(3, 100)]));
        site.run(ms(3_800));
        assert!(site.completed.contains_key(&id(1)), "the job is completed");
        assert_eq!(site.fakes[0].unforgotten_ends(), 0, "ends, runs of {interval} ms more");
    }
}

/// Guards against a second run of a task that its instance refuses to start since a run of it has ended there.
#[test]
fn a_task_that_its_instance_has_ended_before_is_asked_for_and_not_started_elsewhere() {
    let fakes = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    site.fakes[1].draining = true;
    site.run(ms(600));
    let task = TaskName { job: id(1), occurrence: 0, step: 0, member: 0 };
    site.fakes[0].finish_unknown(task, 1);
    site.losses.heartbeats = 100;
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(100));
    site.fakes[1].draining = false;
    site.run(ms(500));
    site.losses.heartbeats = 0;
    site.run(ms(4_000));
    assert_eq!(site.monitor.starts, 0, "it is not started again");
    assert!(site.completed.contains_key(&id(1)), "the job is completed");
}
