//! Which waiting short tasks a pool fetches or keeps machines for.

mod site;

use scheduler::instance::Capacity;
use scheduler::job::State;
use scheduler::job::Step;
use site::Site;
use site::id;
use site::ms;
use site::pools::run_with_machines;
use site::spec;
use site::step;

/// Number of the long-running job.
const LONG_RUNNING: u64 = 1_000_000;

/// A pool beside a standby one, in which a long-running task takes most memory of each instance but the
/// `small` last ones, which have shrunk.
fn occupied(large: usize, small: usize) -> Site {
    let mut site = site::pools::site(&[("oven", large + small), ("spare", 2)]);
    for n in large..large + small {
        site.fakes[n].capacity = Capacity { cpu: 4_000, memory: 8_000, ..site.fakes[n].capacity };
    }
    run_with_machines(&mut site, ms(1_000));
    let serving = Step {
        long_running: true,
        anti_affinity: 1,
        cpu: 1_000,
        memory: 50_000,
        ..step(large as u32, 500)
    };
    site.submit(LONG_RUNNING, "oven", spec(vec![serving]));
    run_with_machines(&mut site, ms(1_500));
    assert_eq!(site.monitor.running(id(LONG_RUNNING)), large, "one on each large instance");
    site
}

fn large() -> Step {
    Step { cpu: 6_350, memory: 17_712, ..step(1, 500) }
}

/// Two instances run no long-running task, and are too small.
#[test]
fn a_machine_comes_for_a_job_although_small_instances_are_free() {
    let mut site = occupied(2, 2);
    site.submit(1, "oven", spec(vec![large()]));
    let calls = run_with_machines(&mut site, ms(14_000));
    assert_eq!(site.state(1), Some(State::Completed), "after {calls:?}");
}

/// The same with one small instance, for comparison.
#[test]
fn a_machine_comes_for_a_job_although_a_small_instance_is_free() {
    let mut site = occupied(2, 1);
    site.submit(1, "oven", spec(vec![large()]));
    let calls = run_with_machines(&mut site, ms(14_000));
    assert_eq!(site.state(1), Some(State::Completed), "after {calls:?}");
}

/// A job that fits on no machine at all waits before it.
#[test]
fn a_machine_comes_for_a_job_behind_one_that_fits_nowhere() {
    let mut site = occupied(2, 0);
    site.submit(1, "oven", spec(vec![Step { memory: 100_000, ..step(1, 500) }]));
    site.submit(2, "oven", spec(vec![large()]));
    let calls = run_with_machines(&mut site, ms(14_000));
    assert_eq!(site.state(2), Some(State::Completed), "after {calls:?}");
}
