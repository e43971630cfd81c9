//! Calls to machines that a leader has recorded, and sends later than it meant to.

mod site;

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

fn wave(number: u64, host: &str) -> Wave {
    Wave {
        number,
        hosts: vec![host.to_owned()].into_iter().collect(),
        duration: ms(30_000),
        max_down: 1,
    }
}

/// A call is recorded, waits until the others of its step work again, and is then sent by the record
/// that the next leader no longer heeds.
#[test]
fn the_next_leader_heeds_a_call_that_was_sent_long_after_its_record() {
    let mut violations = Vec::new();
    for seed in 1..=10 {
        let fakes = (0..3).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
        let mut site = Site::new(&["oven"], fakes.collect(), seed);
        let mut platform = Platform::new(&mut site);
        platform.run(&mut site, ms(300));
        let serving =
            Step { long_running: true, anti_affinity: 1, max_unavailable: 1, ..step(3, 500) };
        site.submit(1, "oven", spec(vec![serving]));
        platform.run(&mut site, ms(2_000));
        for member in 0..3 {
            let name = TaskName { job: id(1), occurrence: 0, step: 0, member };
            assert!(site.monitor.instance_of(name).is_some(), "{name} runs");
        }
        // The machine is maintained as soon as the write is over, but the others are slow then.
        site.write_time = ms(2_000);
        platform.request(&mut site, wave(1, "m-i-2"));
        platform.run(&mut site, ms(200));
        assert!(!platform.is_called());
        let until = site.now + ms(9_000);
        site.fakes[0].slow_until = until;
        site.fakes[1].slow_until = until;
        platform.run(&mut site, ms(8_000));
        assert!(!platform.is_called(), "others of the step are slow");
        assert!(!platform.is_done(&mut site));
        site.write_time = ms(600);
        platform.latency = ms(1_400);
        for _ in 0..1_500 {
            if platform.is_called() {
                break;
            }
            platform.run(&mut site, ms(5));
        }
        assert!(platform.is_called(), "the others work again");
        site.write_time = ms(5);
        site.crash_leader();
        platform.run(&mut site, ms(100));
        platform.latency = ms(5);
        platform.request(&mut site, wave(2, "m-i-0"));
        platform.change_leader(&mut site, false);
        platform.run(&mut site, ms(10_000));
        violations
            .extend(platform.availability.violations.iter().map(|it| format!("seed {seed}: {it}")));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
