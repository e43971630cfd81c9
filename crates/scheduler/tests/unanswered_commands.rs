//! Commands without an answer do not cost an instance that answers its heartbeats the leases of its runs.

mod site;

use cases::cases;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

cases! {
    lost_stops_do_not_end_other_runs;
    of_one_task: (1, 97, 0),
    of_three_tasks: (3, 97, 0),
    of_seven_tasks_that_stop_at_other_times: (7, 97, 0),
    of_tasks_on_an_instance_that_answers_slowly: (3, 270, 300),
}

/// Stops of a cancelled job's tasks are lost for longer than a lease.
fn lost_stops_do_not_end_other_runs((count, stagger, cost): (u32, u64, u64)) {
    let fakes = (0..1).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 7);
    site.fakes[0].default_duration_ms = 60_000;
    site.run(ms(300));
    site.submit(100, "oven", spec(vec![Step { long_running: true, ..step(1, 500) }]));
    for number in 1..=u64::from(count) {
        site.submit(number, "oven", spec(vec![step(1, 500)]));
    }
    site.run(ms(600));
    assert_eq!(site.fakes[0].runs() as u32, count + 1);
    site.losses.stops = 100;
    site.heartbeat_cost = ms(cost);
    for number in 1..=u64::from(count) {
        let now = site.now;
        site.monitor.cancel(now, id(number));
        site.core().cancel(now, id(number));
        site.run(ms(stagger));
    }
    site.run(ms(20_000));
    let task = &site.core().job(id(100)).expect("the job").tasks[0];
    assert_eq!(task.run, 1, "its run has not ended");
    assert_eq!(site.fakes[0].runs() as u32, count + 1);
}
