//! An order that is repeated because it was lost counts against the disruption budget for as long as it
//! may still take effect.

mod site;

use scheduler::job::Phase;
use scheduler::job::Step;
use scheduler::machine::Wave;
use site::Fake;
use site::Platform;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Stops of an evacuation are lost for long.
#[test]
fn an_evacuation_counts_while_its_stops_are_repeated() {
    let fakes = (0..2).map(|n| Fake::new(&format!("i-{n}"), "oven", &format!("r{n}")));
    let mut site = Site::new(&["oven"], fakes.collect(), 1);
    let mut platform = Platform::new(&mut site);
    platform.run(&mut site, ms(300));
    let serving = Step { long_running: true, anti_affinity: 2, max_unavailable: 1, ..step(4, 500) };
    site.submit(1, "oven", spec(vec![serving]));
    platform.run(&mut site, ms(2_000));
    let hosts = (0..2).map(|n| format!("m-i-{n}")).collect();
    platform.request(&mut site, Wave { number: 1, hosts, duration: ms(20_000), max_down: 2 });
    site.losses.stops = 100;
    let mut stopped = 0;
    for _ in 0..1_500 {
        platform.run(&mut site, ms(10));
        let now = site.now;
        let tasks = &site.core().job(id(1)).expect("the job").tasks;
        for task in tasks.iter().filter(|task| matches!(task.phase, Phase::Running(_))) {
            if task.stop_sent_at.is_some_and(|at| now.since(at) < ms(2_000)) {
                stopped += 1;
                assert_eq!(task.evicted_run, Some(task.run), "{now}: its stop is under way");
            }
        }
    }
    assert!(stopped > 0, "stops were sent");
}
