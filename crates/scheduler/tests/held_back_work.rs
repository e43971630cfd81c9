//! What a leader accepts while it starts tasks more slowly than jobs arrive: all of it ends soon after
//! the arrivals do.

mod site;

use std::time::Duration;

use cases::cases;
use scheduler::core::Verdict;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::ms;
use site::spec;
use site::step;

/// Time for which jobs arrive.
const LOAD_TIME: Duration = Duration::from_secs(15);

/// Time after the last arrival by which all accepted jobs have ended.
const MAX_END_TIME: Duration = Duration::from_secs(14);

/// What the leader is slow at.
#[derive(Clone, Copy, Debug)]
enum Bottleneck {
    /// Writes.
    Writes,
    /// Writes, with answers to start commands that take their time, but not too long.
    WritesAndStarts,
}

cases! {
    accepted_jobs_end_soon_after_the_load;
    where_the_store_is_slow: Bottleneck::Writes,
    where_the_store_and_starts_are_slow: Bottleneck::WritesAndStarts,
}

fn accepted_jobs_end_soon_after_the_load(bottleneck: Bottleneck) {
    let fakes = (0..40).map(|n| {
        let mut fake = Fake::new(&format!("oven-{n}"), "oven", &format!("r{n}"));
        fake.capacity.cpu = 64_000;
        fake.capacity.memory = 64_000;
        fake
    });
    let mut site = Site::new(&["oven"], fakes.collect(), 7);
    site.run(ms(300));
    site.write_time = ms(90);
    if let Bottleneck::WritesAndStarts = bottleneck {
        site.command_cost = ms(1);
    }
    let (mut accepted, mut refused) = (Vec::new(), 0);
    for number in 0..LOAD_TIME.as_millis() as u64 / 10 {
        let second = Step { after: vec![0], ..step(4, 500) };
        let third = Step { after: vec![1], ..step(4, 500) };
        match site.submit(number, "oven", spec(vec![step(4, 500), second, third])) {
            Verdict::Rejected(_) => refused += 1,
            _ => accepted.push(number),
        }
        site.run(ms(10));
    }
    let unplaced = site.core().unstarted_tasks();
    site.run(MAX_END_TIME);
    let ended = |number: &&u64| site.state(**number).is_some_and(|state| state.is_ended());
    let left = accepted.len() - accepted.iter().filter(ended).count();
    println!(
        "{bottleneck:?}: {} accepted, {refused} refused, {unplaced} tasks unplaced at the end of the load",
        accepted.len()
    );
    assert_eq!(left, 0, "of {} accepted jobs have not ended", accepted.len());
    // While jobs arrive, late ones yield to those that can be on time.
    site.monitor.violations.retain(|violation| !violation.contains("has stood still"));
    site.monitor.check();
}
