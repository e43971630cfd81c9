//! Instances whose clock was set back, and whose entry in the list is older than their process.

mod site;

use site::Fake;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// The list still shows the incarnation before, which is higher, when the leader hands over.
#[test]
fn a_task_on_an_instance_whose_clock_was_set_back_is_not_started_twice() {
    let fakes = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    site.fakes[1].draining = true;
    site.run(ms(600));
    site.fakes[0].default_duration_ms = 5_000;
    site.submit(1, "oven", spec(vec![step(1, 5_000)]));
    site.run(ms(600));
    let before = site.fakes[0].incarnation;
    site.restart_earlier(0, ms(300));
    site.fakes[0].listed_incarnation = Some(before);
    site.run(ms(3_000));
    assert_eq!(site.fakes[0].runs(), 1);
    site.fakes[1].draining = false;
    site.run(ms(600));
    site.change_leader(true);
    site.run(ms(1_500));
    site.fakes[0].listed_incarnation = None;
    site.settle_and_check();
}

/// A start command reaches a process whose clock has started anew, with a lease by the clock before: the
/// longest that instances take, and longer than those that the leader grants.
#[test]
fn a_lease_by_the_clock_of_the_process_before_is_waited_for() {
    let fakes = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    for fake in &mut site.fakes {
        fake.restarts_clock = true;
        fake.max_lease_ms = 10_000;
        fake.default_duration_ms = 20_000;
    }
    site.fakes[1].draining = true;
    site.run(ms(2_000));
    let now = site.now;
    site.fakes[0].crash(now, ms(10), &mut site.monitor);
    site.run(ms(20));
    site.submit(1, "oven", spec(vec![step(1, 20_000)]));
    site.run(ms(500));
    assert_eq!(site.fakes[0].runs(), 1);
    site.fakes[0].unreachable_until = site.now + ms(15_000);
    site.fakes[1].draining = false;
    site.run(ms(12_000));
    site.monitor.check();
}
