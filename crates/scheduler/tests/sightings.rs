//! Accepted work without a run is reported, although its instance answers or its phase keeps changing.

mod site;

use std::time::Duration;

use scheduler::core::Stage;
use scheduler::instance::Capacity;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

fn one_instance() -> Site {
    let mut site = Site::new(&["oven"], vec![Fake::new("i-0", "oven", "r0")], 1);
    site.run(ms(300));
    site
}

/// Answers to start commands prolong the leases of an instance whose heartbeats do not return.
#[test]
fn a_run_that_is_lost_while_its_instance_answers_is_reported() {
    let mut site = one_instance();
    site.fakes[0].default_duration_ms = 60_000;
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(500));
    site.fakes[0].mutes_heartbeats = true;
    site.run(ms(2_500));
    let now = site.now;
    site.fakes[0].listed_incarnation = Some(site.fakes[0].incarnation);
    site.fakes[0].crash(now, ms(1), &mut site.monitor);
    for number in 2..9 {
        site.submit(number, "oven", spec(vec![step(1, 500)]));
        site.run(ms(800));
    }
    let now = site.now;
    let standing = site.core().standing(now);
    let unseen = standing.get(&Stage::Unseen).expect("a run that is not seen");
    assert_eq!(unseen.name.job, id(1));
    assert!(site.monitor.violations.iter().any(|it| it.contains("running-unseen")));
}

/// Each placement is refused, and each refusal begins the wait of the task anew.
#[test]
fn a_job_that_is_placed_and_refused_again_and_again_is_reported() {
    let mut site = one_instance();
    let now = site.now;
    let shrunk = Capacity { cpu: 500, memory: 8_000, accelerators: 0 };
    site.fakes[0].resize(now, shrunk, Duration::from_secs(60));
    site.submit(1, "oven", spec(vec![step(1, 500)]));
    site.run(ms(4_000));
    assert!(site.fakes[0].refused_starts >= 3);
    let now = site.now;
    let standing = site.core().standing(now);
    assert_eq!(standing.keys().collect::<Vec<_>>(), [&Stage::Idle]);
    assert_eq!(standing[&Stage::Idle].name.job, id(1));
}
