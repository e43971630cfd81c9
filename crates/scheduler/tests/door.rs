//! What a pool can't start on time is refused when it is submitted; what is accepted is on time, also
//! beside a backlog that is late.

mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use scheduler::core::Rejection;
use scheduler::core::Verdict;
use scheduler::job::Id;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Duration of a task, in milliseconds.
const TASK_MS: u64 = 1_000;

/// Time that a job of one step may take: 1.6 times its critical path and 600 ms more.
const ALLOWED: Duration = Duration::from_millis(2_200);

/// Number of the first job that is submitted after a backlog.
const FRESH: u64 = 100_000;

fn pool(service: &str, count: usize) -> Vec<Fake> {
    let fake = |n| {
        let mut fake = Fake::new(&format!("{service}-{n}"), service, &format!("r{n}"));
        fake.default_duration_ms = TASK_MS;
        fake
    };
    (0..count).map(fake).collect()
}

/// What became of the jobs of a queue.
#[derive(Clone, Debug, Default)]
struct Outcomes {
    /// Deadlines of accepted jobs.
    accepted: BTreeMap<Id, Time>,
    /// Times and retry delays of refusals.
    refused: Vec<(Time, Duration)>,
}

impl Outcomes {
    /// Submits a job of four tasks.
    fn submit(&mut self, site: &mut Site, number: u64, queue: &str) {
        let deadline = site.now + ALLOWED;
        match site.submit(number, queue, spec(vec![step(4, TASK_MS)])) {
            Verdict::Rejected(Rejection::Busy { retry }) => self.refused.push((site.now, retry)),
            Verdict::Rejected(other) => panic!("{other:?}"),
            _ => drop(self.accepted.insert(id(number), deadline)),
        }
    }

    /// Share of the accepted jobs that were completed in time, in percent, those apart that were
    /// submitted before `since`.
    fn on_time_since(&self, site: &Site, since: Time) -> u64 {
        let late_enough = self.accepted.iter().filter(|(_, at)| **at >= since + ALLOWED);
        site.on_time(&late_enough.map(|(id, at)| (*id, *at)).collect())
    }

    /// Share of the accepted jobs that were completed in time, in percent.
    fn on_time(&self, site: &Site) -> u64 {
        site.on_time(&self.accepted)
    }
}

/// What a pool has too little of.
#[derive(Clone, Copy, Debug)]
enum Bottleneck {
    /// Instances.
    Room,
    /// Time to send start commands.
    Starts,
    /// Writes.
    Writes,
}

cases! {
    accepts_what_can_be_on_time;
    where_room_is_scarce: Bottleneck::Room,
    where_starts_are_scarce: Bottleneck::Starts,
    where_writes_are_scarce: Bottleneck::Writes,
}

/// For 10 s, a pool is asked for two to three times of what can be done.
fn accepts_what_can_be_on_time(bottleneck: Bottleneck) {
    let (instances, interval) = match bottleneck {
        Bottleneck::Room => (8, ms(25)),
        Bottleneck::Starts => (24, ms(25)),
        Bottleneck::Writes => (40, ms(10)),
    };
    let mut fakes = pool("oven", instances);
    fakes.extend(pool("till", 4));
    let mut site = Site::new(&["oven", "till"], fakes, 7);
    site.run(ms(300));
    match bottleneck {
        Bottleneck::Room => {}
        Bottleneck::Starts => site.command_cost = ms(15),
        Bottleneck::Writes => site.write_time = ms(90),
    }
    let start = site.now;
    let (mut oven, mut till) = (Outcomes::default(), Outcomes::default());
    let jobs = (ms(10_000).as_millis() / interval.as_millis()) as u64;
    for number in 0..jobs {
        oven.submit(&mut site, number, "oven");
        if number % 40 == 0 && matches!(bottleneck, Bottleneck::Room) {
            till.submit(&mut site, FRESH + number, "till");
        }
        site.run(interval);
    }
    site.run(ms(6_000));
    // In the first second the leader does not know yet what it can start.
    let percent = oven.on_time_since(&site, start + ms(1_000));
    println!(
        "{bottleneck:?}: {} accepted, {}% of them on time, {percent}% after a second, {} refused",
        oven.accepted.len(),
        oven.on_time(&site),
        oven.refused.len()
    );
    assert!(percent >= 90, "{percent}% of {} accepted jobs on time", oven.accepted.len());
    assert!(till.refused.is_empty(), "{} refused by a free pool", till.refused.len());
    site.monitor.check();
}

/// A thousand jobs are late when a site comes back after a power loss. Those that are submitted then
/// and accepted are on time.
#[test]
fn a_late_backlog_does_not_make_new_jobs_late() {
    let mut site = Site::new(&["oven"], pool("oven", 40), 7);
    site.run(ms(300));
    for number in 0..1_000 {
        site.submit(number, "oven", spec(vec![step(4, TASK_MS)]));
        site.run(ms(1));
    }
    site.run(ms(200));
    let now = site.now;
    let mut monitor = std::mem::take(&mut site.monitor);
    site.fakes.iter_mut().for_each(|fake| fake.crash(now, ms(1_500), &mut monitor));
    site.monitor = monitor;
    site.crash_leader();
    site.run(ms(1_600));
    site.change_leader(false);
    site.command_cost = ms(5);
    let back = site.now;
    site.run(ms(3_000));
    let mut fresh = Outcomes::default();
    for number in 0..200 {
        fresh.submit(&mut site, FRESH + number, "oven");
        site.run(ms(50));
    }
    let waiting = site.core().waiting_jobs("oven");
    let late = site.progress.values().filter(|job| !job.state.is_ended()).count();
    site.run(ms(4_000));
    println!(
        "{} accepted, {}% of them on time, {} refused; {waiting} not begun and {late} not ended after {:?}",
        fresh.accepted.len(),
        fresh.on_time(&site),
        fresh.refused.len(),
        site.now.since(back),
    );
    assert!(fresh.accepted.len() >= 100, "{} of 200 accepted", fresh.accepted.len());
    assert!(fresh.on_time(&site) >= 90, "{}% on time", fresh.on_time(&site));
    site.monitor.check();
}
