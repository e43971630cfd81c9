//! Leases that start commands have brought to a restarted instance outlive the leader that has sent them.

mod site;

use std::time::Duration;

use site::Fake;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// Runs on restarted instances that began beside others of their tasks. A start command reaches a process
/// whose clock has started anew, with a lease by the clock before; the leader hands over, and the next one
/// loses contact `cut_after` later. With `unnoticed`, the instance restarts just after it has answered, and no
/// heartbeat shows that before the command is sent.
fn runs_at_once(unnoticed: bool, cut_after: Duration, stepped_down: bool) -> Vec<String> {
    let fakes = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 3);
    for fake in &mut site.fakes {
        fake.restarts_clock = true;
        fake.max_lease_ms = 10_000;
        fake.default_duration_ms = 20_000;
    }
    site.fakes[1].draining = true;
    site.run(if unnoticed { ms(900) } else { ms(2_000) });
    let now = site.now;
    site.fakes[0].crash(now, ms(10), &mut site.monitor);
    site.run(ms(20));
    site.submit(1, "oven", spec(vec![step(1, 20_000)]));
    if unnoticed {
        site.losses.heartbeats = 100;
        site.run(ms(30));
        site.losses.heartbeats = 0;
        // The heartbeat is given up, and the next one shows the restart.
        site.run(ms(2_500));
    } else {
        site.run(ms(500));
    }
    assert_eq!(site.fakes[0].runs(), 1);
    site.change_leader(stepped_down);
    site.run(cut_after);
    site.fakes[0].unreachable_until = site.now + ms(15_000);
    site.fakes[1].draining = false;
    site.run(ms(12_000));
    site.monitor.violations.clone()
}

cases::cases! {
    a_lease_by_the_clock_before_is_waited_for_by_the_next_leader;
    that_can_not_reach_the_instance: ms(0),
    that_has_read_the_instance: ms(300),
}

fn a_lease_by_the_clock_before_is_waited_for_by_the_next_leader(cut_after: Duration) {
    assert_eq!(runs_at_once(false, cut_after, true), Vec::<String>::new());
}

cases::cases! {
    a_lease_by_the_clock_before_of_an_instance_that_had_just_answered_is_waited_for;
    by_a_leader_that_can_not_reach_it: (ms(0), true),
    by_a_leader_that_has_read_it: (ms(300), true),
    by_a_leader_after_a_crash: (ms(0), false),
    by_a_leader_that_has_read_it_after_a_crash: (ms(300), false),
}

fn a_lease_by_the_clock_before_of_an_instance_that_had_just_answered_is_waited_for(
    (cut_after, stepped_down): (Duration, bool),
) {
    assert_eq!(runs_at_once(true, cut_after, stepped_down), Vec::<String>::new());
}
