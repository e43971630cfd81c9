//! The number of waiting jobs of a queue, which callers ask for.

mod site;

use scheduler::job::State;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Number of the jobs of a queue that are accepted and have not begun.
fn count(site: &mut Site, jobs: u64, queue: &str) -> usize {
    let core = site.core();
    let jobs = (1..=jobs).filter_map(|number| core.job(id(number)));
    let waiting = jobs
        .filter(|job| job.state == State::Active && !job.begun.is_known() && job.queue == queue);
    waiting.count()
}

#[test]
fn it_is_that_of_the_jobs_through_cancellations_crashes_and_changes_of_leader() {
    let fakes = (0..4).map(|n| {
        let service = if n < 2 { "oven" } else { "stove" };
        Fake::new(&format!("i-{n}"), service, &format!("r{n}"))
    });
    let mut site = Site::new(&["oven", "stove"], fakes.collect(), 7);
    site.run(ms(200));
    let mut most = 0;
    for number in 1..=300 {
        let queue = if number % 3 == 0 { "stove" } else { "oven" };
        site.submit(number, queue, spec(vec![step(1 + number as u32 % 5, 400)]));
        let now = site.now;
        match number % 30 {
            7 => drop(site.core().cancel(now, id(number - 3))),
            13 => drop(site.core().cancel(now, id(number))),
            17 => site.store_down_until = now + ms(300),
            23 => {
                let mut monitor = std::mem::take(&mut site.monitor);
                site.fakes[0].crash(now, ms(400), &mut monitor);
                site.monitor = monitor;
            }
            29 => site.change_leader(number % 60 == 29),
            _ => {}
        }
        site.run(ms(20));
        for queue in ["oven", "stove"] {
            let waiting = count(&mut site, number, queue);
            assert_eq!(site.core().waiting_jobs(queue), waiting, "{queue} after job {number}");
            most = most.max(waiting);
        }
    }
    assert!(most >= 20, "at most {most} jobs wait");
    site.run(ms(20_000));
    assert_eq!(site.core().waiting_jobs("oven") + site.core().waiting_jobs("stove"), 0);
}
