//! A burst beyond what the leader carries ends; what is submitted afterwards and fits is on time.

mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use scheduler::job::Id;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Duration of a task, in milliseconds.
const TASK_MS: u64 = 1_000;

/// Tasks of a job.
const TASKS: u32 = 4;

/// Time that a job may take: 1.6 times its critical path and 600 ms more.
const ALLOWED: Duration = Duration::from_millis(2_200);

/// Jobs a second that the leader carries with ease.
const LOAD: u64 = 40;

/// Jobs a second in a burst: their start commands alone take more than all of the leader's time.
const BURST: u64 = 200;

/// Duration of the burst.
const BURST_TIME: Duration = Duration::from_secs(5);

/// Time after the end of the burst from which jobs have to be on time.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Time for which jobs are submitted after that.
const JUDGED_TIME: Duration = Duration::from_secs(10);

/// Jobs that are late when the power is back.
const LATE_JOBS: u64 = 400;

/// A site with room for all that is submitted, and a leader that spends a third of its time on
/// [`LOAD`].
fn site() -> Site {
    let fakes = (0..40).map(|n| {
        let mut fake = Fake::new(&format!("i-{n}"), "oven", &format!("r{n}"));
        fake.capacity.cpu = 32_000;
        fake.capacity.memory = 32_000;
        fake.default_duration_ms = TASK_MS;
        fake
    });
    let mut site = Site::new(&["oven"], fakes.collect(), 7);
    site.run(ms(300));
    site
}

/// Time that a start command takes of the leader.
const COMMAND_COST: Duration = Duration::from_micros(1_500);

fn occupy_leader(site: &mut Site, submission_cost: Duration) {
    site.command_cost = COMMAND_COST;
    site.submission_cost = submission_cost;
    site.heartbeat_cost = Duration::from_micros(150);
}

/// Callers submit `rate` jobs a second for `time`, numbered from `first`. Returns the next number.
fn call(site: &mut Site, first: u64, rate: u64, time: Duration) -> u64 {
    let count = rate * time.as_millis() as u64 / 1_000;
    for number in first..first + count {
        site.call(number, "oven", spec(vec![step(TASKS, TASK_MS)]));
        let spent = Duration::from_micros((number - first + 1) * 1_000_000 / rate);
        let before = Duration::from_micros((number - first) * 1_000_000 / rate);
        let steps = spent.as_millis() - before.as_millis();
        if steps > 0 {
            site.run(ms(steps as u64));
        }
    }
    first + count
}

/// Jobs wait when the power fails, and are late when it is back.
fn lose_power_with_a_backlog(site: &mut Site, first: u64) -> u64 {
    for number in first..first + LATE_JOBS {
        site.submit(number, "oven", spec(vec![step(TASKS, TASK_MS)]));
        site.run(ms(1));
    }
    site.run(ms(200));
    let now = site.now;
    let mut monitor = std::mem::take(&mut site.monitor);
    site.fakes.iter_mut().for_each(|fake| fake.crash(now, ms(1_500), &mut monitor));
    site.monitor = monitor;
    site.crash_leader();
    site.run(ms(2_500));
    site.change_leader(false);
    first + LATE_JOBS
}

/// What comes before the load that fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Before {
    Nothing,
    Burst,
    PowerLoss,
    PowerLossAndBurst,
}

cases! {
    serves_what_fits;
    after_nothing: (Before::Nothing, COMMAND_COST),
    after_a_burst: (Before::Burst, COMMAND_COST),
    after_a_power_loss: (Before::PowerLoss, COMMAND_COST),
    after_a_power_loss_and_a_burst: (Before::PowerLossAndBurst, COMMAND_COST),
    where_a_refusal_costs_half_a_start: (Before::PowerLossAndBurst, COMMAND_COST / 2),
}

/// Of the jobs that are submitted from [`SETTLING_TIME`] on, 90% are on time.
fn serves_what_fits((before, submission_cost): (Before, Duration)) {
    let mut site = site();
    let mut next = 0;
    if matches!(before, Before::PowerLoss | Before::PowerLossAndBurst) {
        next = lose_power_with_a_backlog(&mut site, next);
    }
    occupy_leader(&mut site, submission_cost);
    let start = site.now;
    if matches!(before, Before::Burst | Before::PowerLossAndBurst) {
        next = call(&mut site, next, BURST, BURST_TIME);
    }
    let judged_from = site.now + SETTLING_TIME;
    next = call(&mut site, next, LOAD, SETTLING_TIME + JUDGED_TIME);
    site.run(ALLOWED);
    print_seconds(&site, start);
    let deadlines: BTreeMap<Id, Time> = (0..next)
        .filter_map(|number| Some((id(number), *site.callers.submitted.get(&id(number))?)))
        .filter(|(_, submitted)| *submitted >= judged_from)
        .map(|(id, submitted)| (id, submitted + ALLOWED))
        .collect();
    let percent = site.on_time(&deadlines);
    assert!(percent >= 90, "{percent}% of {} jobs on time", deadlines.len());
    site.monitor.check();
}

/// Prints what became of the jobs first submitted in each second.
fn print_seconds(site: &Site, start: Time) {
    let second = |at: Time| at.since(start).as_secs();
    for now in 0..=second(site.now) {
        let submitted = site.callers.submitted.iter().filter(|(_, at)| second(**at) == now);
        let deadlines: BTreeMap<Id, Time> =
            submitted.map(|(id, at)| (*id, *at + ALLOWED)).collect();
        let accepted = site.callers.accepted.values().filter(|at| second(**at) == now).count();
        let refused = site.callers.refused.iter().filter(|at| second(**at) == now).count();
        let done = site.completed.values().filter(|at| second(**at) == now).count();
        println!(
            "{now:>2} s: {:>3} new, {:>3}% of them on time; {accepted} accepted, {refused} refused, {done} completed",
            deadlines.len(),
            site.on_time(&deadlines),
        );
    }
}
