//! Load patterns, replayed in virtual time: what the scheduler reaches, beside a naive baseline and
//! a bound that nobody can beat.

mod site;

use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use cases::cases;
use fleet::time::Time;
use scheduler::core::Verdict;
use scheduler::job::Id;
use scheduler::job::Spec;
use scheduler::job::Step;
use site::Fake;
use site::Site;
use site::id;
use site::ms;
use site::spec;
use site::step;

/// Time that a task of these patterns takes.
const TASK: Duration = Duration::from_millis(500);

/// What a job may take: its chain times the queue's stretch, and the queue's latency.
fn allowed(steps: u64) -> Duration {
    (TASK * steps as u32).mul_f64(1.6) + ms(600)
}

/// Jobs by the time at which they come.
type Load = Vec<(Duration, Spec)>;

/// A hill: from nothing to `peak` jobs a second within half of `width`, and back.
fn hill(peak: f64, width: Duration, tasks: u32) -> Load {
    let mut load = Vec::new();
    let mut at = Duration::ZERO;
    let mut due = 0.0;
    while at < width {
        let middle = width.as_secs_f64() / 2.0;
        let height = 1.0 - (at.as_secs_f64() - middle).abs() / middle;
        due += peak * height * 0.01;
        while due >= 1.0 {
            due -= 1.0;
            load.push((at, spec(vec![step(tasks, 500)])));
        }
        at += ms(10);
    }
    load
}

fn pool(count: usize) -> Vec<Fake> {
    (0..count).map(|place| Fake::new(&format!("i-{place}"), "oven", "r1")).collect()
}

/// Share of a load, in percent, that the scheduler has done in time on so many instances.
fn reached(load: &Load, instances: usize) -> u64 {
    let mut site = Site::new(&["oven"], pool(instances), 5);
    site.run(ms(200));
    let start = site.now;
    let mut due: BTreeMap<Id, Time> = BTreeMap::new();
    for (number, (at, spec)) in load.iter().enumerate() {
        while site.now.since(start) < *at {
            site.run(ms(1));
        }
        let steps = spec.steps.len() as u64;
        due.insert(id(number as u64), site.now + allowed(steps));
        let verdict = site.submit(number as u64, "oven", spec.clone());
        assert!(matches!(verdict, Verdict::Store | Verdict::Rejected(_)), "{verdict:?}");
    }
    site.run(ms(8_000));
    site.ledger.check();
    site.on_time(&due)
}

/// The same for work in the order in which it comes, with no refusals and no time lost.
fn naive(load: &Load, instances: usize) -> u64 {
    let mut free: BinaryHeap<std::cmp::Reverse<Time>> =
        (0..instances * 8).map(|_| std::cmp::Reverse(Time::ZERO)).collect();
    let mut on_time = 0;
    for (at, spec) in load {
        let came = Time::ZERO + *at;
        let mut start = came;
        for step in &spec.steps {
            let mut end = start;
            for _ in 0..step.count {
                let std::cmp::Reverse(core) = free.pop().expect("as many as cores");
                let done = core.max(start) + TASK;
                free.push(std::cmp::Reverse(done));
                end = end.max(done);
            }
            start = end;
        }
        on_time += u64::from(start <= came + allowed(spec.steps.len() as u64));
    }
    on_time * 100 / load.len() as u64
}

/// The most that any order could reach: all processors as one, work as fluid, the smallest jobs
/// first.
fn bound(load: &Load, instances: usize) -> u64 {
    let cores = (instances * 8) as f64;
    let end = load.iter().map(|(at, spec)| *at + allowed(spec.steps.len() as u64)).max();
    let room = cores * end.unwrap_or_default().as_secs_f64();
    let mut work: Vec<f64> = load
        .iter()
        .map(|(_, spec)| {
            let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
            f64::from(tasks) * TASK.as_secs_f64()
        })
        .collect();
    work.sort_by(f64::total_cmp);
    let mut used = 0.0;
    let fits = work.iter().take_while(|&&work| {
        used += work;
        used <= room
    });
    fits.count() as u64 * 100 / load.len() as u64
}

/// A load, the instances that meet it, and what has to be reached of the bound at least, in percent.
struct Pattern {
    load: Load,
    instances: usize,
    of_bound: u64,
}

cases! {
    keeps_up;
    a_hill_that_fits: Pattern { load: hill(30.0, ms(8_000), 4), instances: 8, of_bound: 95 },
    a_hill_twice_the_pool: Pattern { load: hill(60.0, ms(8_000), 4), instances: 8, of_bound: 75 },
    two_steps_a_job: Pattern { load: two_steps(), instances: 8, of_bound: 90 },
    large_among_small: Pattern { load: mixed(), instances: 8, of_bound: 90 },
}

fn two_steps() -> Load {
    let second = Step { after: vec![0], ..step(2, 500) };
    let hill = hill(20.0, ms(8_000), 4).into_iter();
    hill.map(|(at, mut spec)| {
        spec.steps.push(second.clone());
        (at, spec)
    })
    .collect()
}

fn mixed() -> Load {
    let hill = hill(20.0, ms(8_000), 3).into_iter().enumerate();
    hill.map(|(place, (at, spec))| (at, if place % 10 == 0 { large() } else { spec })).collect()
}

fn large() -> Spec {
    spec(vec![step(20, 500)])
}

fn keeps_up(pattern: Pattern) {
    let Pattern { load, instances, of_bound } = pattern;
    let (reached, naive, bound) =
        (reached(&load, instances), naive(&load, instances), bound(&load, instances));
    println!("reached {reached}%, naive {naive}%, bound {bound}%");
    assert!(reached * 100 >= bound * of_bound, "{reached}% of {bound}%, naive {naive}%");
    assert!(reached + 5 >= naive, "{reached}%, naive {naive}%");
}

/// Late work yields to work that can still be on time: a stall of the store in a hill must not
/// spoil what comes after it.
#[test]
fn what_comes_after_a_stall_is_on_time() {
    let mut site = Site::new(&["oven"], pool(8), 5);
    site.run(ms(200));
    for number in 0..60 {
        site.submit(number, "oven", spec(vec![step(4, 500)]));
    }
    site.store_down_until = site.now + ms(4_000);
    site.run(ms(4_100));
    let mut due = BTreeMap::new();
    for number in 100..110 {
        due.insert(id(number), site.now + allowed(1));
        site.submit(number, "oven", spec(vec![step(4, 500)]));
        site.run(ms(100));
    }
    site.run(ms(6_000));
    site.ledger.check();
    assert!(site.on_time(&due) >= 90, "{}%", site.on_time(&due));
}

/// Guesses that are off are learnt: work that takes thrice its guess is still placed as it comes.
#[test]
fn guesses_that_are_off_are_learnt() {
    let load: Load = hill(20.0, ms(8_000), 4);
    let load: Load = load
        .into_iter()
        .map(|(at, mut spec)| {
            spec.steps[0].estimate_ms = 160;
            (at, spec)
        })
        .collect();
    assert!(reached(&load, 8) >= 95);
}
