//! What becomes of the work on an instance whose own entry in the list can't be read for a while.

mod site;

use fleet::time::Time;
use scheduler::core::Sent;
use scheduler::instance::Heartbeat;
use scheduler::job::State;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// Time for which the entry can't be read: longer than any lease.
const ODD_TIME: u64 = 12_000;

/// Two instances of 8 cores. Jobs 1 and 2 fill both, the second with a task that runs until it is
/// cancelled.
fn busy_site() -> Site {
    let instances = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", "r"));
    let mut site = Site::new(&["oven"], instances.collect(), 5);
    site.run(ms(200));
    site.fakes.iter_mut().for_each(|fake| fake.default_duration_ms = 14_000);
    let long_running = Step { long_running: true, ..step(1, 500) };
    site.submit(1, "oven", spec(vec![step(8, 14_000)]));
    site.submit(2, "oven", spec(vec![long_running]));
    site.run(ms(500));
    assert!(site.fakes.iter().all(|fake| fake.runs() > 0), "both run tasks");
    site
}

fn spoil(site: &mut Site, fake: usize, millis: u64) {
    let until = site.now + ms(millis);
    site.fakes[fake].unlisted_until = until;
    site.list_now();
}

/// An entry that can't be read names no instance to use, and does not end the runs there: they are
/// heartbeaten, and don't start anywhere else.
#[test]
fn runs_go_on_while_the_entry_of_their_instance_is_odd() {
    let mut site = busy_site();
    let (starts, runs) = (site.monitor.starts, site.fakes[0].runs());
    spoil(&mut site, 0, ODD_TIME);
    site.run(ms(ODD_TIME));
    assert_eq!(site.fakes[0].runs(), runs, "runs on the instance");
    assert_eq!(site.monitor.starts, starts, "no task was started a second time");
    assert!(site.monitor.lapses.is_empty(), "{:?}", site.monitor.lapses);
    assert!(site.monitor.stop_orders.is_empty(), "{:?}", site.monitor.stop_orders);
    site.run(ms(4_000));
    assert_eq!(site.state(1), Some(State::Completed));
    site.monitor.check();
}

/// Nothing new is placed there meanwhile, and it is used again as soon as its entry is good.
#[test]
fn nothing_is_placed_on_an_instance_whose_entry_is_odd() {
    let mut site = busy_site();
    let runs = site.fakes[0].runs();
    site.fakes.iter_mut().for_each(|fake| fake.default_duration_ms = 500);
    spoil(&mut site, 0, 3_000);
    site.submit(3, "oven", spec(vec![step(16, 500)]));
    site.run(ms(2_500));
    assert!(site.fakes[0].runs() <= runs, "{} runs, {runs} before", site.fakes[0].runs());
    site.run(ms(20_000));
    assert_eq!(site.state(3), Some(State::Completed));
    site.monitor.check();
}

/// The next leader doesn't know where the instance is reached: its runs end with their leases, and only
/// then start elsewhere.
#[test]
fn runs_are_not_doubled_by_the_next_leader_while_an_entry_is_odd() {
    for stepped_down in [true, false] {
        let mut site = busy_site();
        spoil(&mut site, 0, ODD_TIME);
        site.run(ms(500));
        site.change_leader(stepped_down);
        site.run(ms(40_000));
        assert_eq!(site.state(1), Some(State::Completed), "stepped_down: {stepped_down}");
        // Nobody reaches the runs, which stand still until their leases have ended for certain.
        site.monitor.violations.retain(|violation| !violation.contains("has stood still"));
        site.monitor.check();
    }
}

#[test]
fn an_entry_that_turns_odd_again_and_again_ends_no_run() {
    let mut site = busy_site();
    let starts = site.monitor.starts;
    for _ in 0..12 {
        spoil(&mut site, 0, 500);
        site.run(ms(1_000));
    }
    assert_eq!(site.monitor.starts, starts, "no task was started a second time");
    site.run(ms(4_000));
    assert_eq!(site.state(1), Some(State::Completed));
    site.monitor.check();
}

/// Clocks at the end of their range leave leases that end, and no overflow.
#[test]
fn a_clock_at_the_end_of_its_range_is_read() {
    let mut site = busy_site();
    let key = site.key(0);
    let (now, restarted) = (site.now, 2_000_000_000_000);
    let sent = Sent { at: now, token_raises: 0 };
    for incarnation in [0, restarted] {
        let heartbeat = Heartbeat { clock_ms: u64::MAX, incarnation, ..Heartbeat::default() };
        site.core().heartbeat(now, key, sent, &heartbeat);
        let later = now + ms(700);
        assert_eq!(site.core().renew_lease(later, key), Some(u64::MAX));
        let tuning = site.tuning;
        let expires_at = site.core().instance(key).leases_expire_at(&tuning);
        assert!(expires_at < later + tuning.max_lease * 2, "{expires_at}");
    }
    site.core().tick(Time::from_secs(20));
}
