//! Maintenance that a previous leader has called, on a simulated site in virtual time: the instances that
//! it ends have not crashed.

mod site;

use std::time::Duration;

use cases::cases;
use scheduler::job::State;
use scheduler::job::Step;
use scheduler::job::TaskName;
use scheduler::machine::Wave;
use site::Fake;
use site::Platform;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of machines maintained under a task, one after the other.
const ROUNDS: u64 = 6;

/// When the leader changes, and what is late.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Whether calls arrive seconds after they were sent.
    late_calls: bool,
    /// Time from the call to the change of the leader.
    change_after: Duration,
    /// Time that a list of machines takes to arrive.
    list_latency: Duration,
}

fn pool(count: usize) -> Vec<Fake> {
    let fakes = (0..count).map(|n| {
        let mut fake = Fake::new(&format!("i-{n}"), "oven", &format!("r{}", n % 3));
        fake.startup = ms(100);
        fake
    });
    fakes.collect()
}

/// The machine of the instance on which the first task of the first job runs.
fn host(site: &Site) -> Option<String> {
    let name = TaskName { job: id(1), occurrence: 0, step: 0, member: 0 };
    site.monitor.instance_of(name).map(|instance| format!("m-{instance}"))
}

/// Runs the site until the leader has called a machine.
fn run_until_called(site: &mut Site, platform: &mut Platform) {
    let calls = platform.calls_sent;
    for _ in 0..20_000 {
        platform.run(site, ms(1));
        if platform.calls_sent > calls {
            return;
        }
    }
    panic!("no machine is called");
}

cases! {
    maintenance_called_by_another_leader_is_no_crash;
    carried_out_under_the_next_leader:
        Case { late_calls: true, change_after: ms(10), list_latency: ms(0) },
    carried_out_under_the_next_leader_and_listed_late:
        Case { late_calls: true, change_after: ms(10), list_latency: ms(2_200) },
    carried_out_before: Case { late_calls: false, change_after: ms(300), list_latency: ms(0) },
    carried_out_before_and_listed_late:
        Case { late_calls: false, change_after: ms(300), list_latency: ms(2_200) },
    carried_out_at_the_take_over:
        Case { late_calls: false, change_after: ms(10), list_latency: ms(0) },
    carried_out_at_the_take_over_and_listed_late:
        Case { late_calls: false, change_after: ms(10), list_latency: ms(2_200) },
    carried_out_before_a_late_take_over:
        Case { late_calls: false, change_after: ms(1_900), list_latency: ms(0) },
}

fn maintenance_called_by_another_leader_is_no_crash(case: Case) {
    let mut site = Site::new(&["oven"], pool(7), 1);
    let mut platform = Platform::new(&mut site);
    platform.run(&mut site, ms(300));
    site.submit(1, "oven", spec(vec![Step { long_running: true, ..step(1, 500) }]));
    platform.run(&mut site, ms(300));
    platform.list_latency = case.list_latency;
    platform.late_percent = if case.late_calls { 100 } else { 0 };
    let mut crashes = Vec::new();
    for number in 1..=ROUNDS {
        while host(&site).is_none() {
            platform.run(&mut site, ms(1));
        }
        let hosts = vec![host(&site).expect("it runs")];
        platform.request(&mut site, Wave { number, hosts, duration: ms(20_000), max_down: 1 });
        run_until_called(&mut site, &mut platform);
        platform.run(&mut site, case.change_after);
        platform.change_leader(&mut site, false);
        // Until the call is carried out, the instance is back, and the list shows the machine as up.
        platform.run(&mut site, ms(5_500) + ms(2_000) + case.list_latency * 2 + ms(500));
        crashes.push(site.core().crashes());
    }
    assert_eq!(site.state(1), Some(State::Active), "crashes: {crashes:?}");
    assert!(crashes.iter().all(|&crashes| crashes == 0), "{crashes:?}");
    site.monitor.check();
}
