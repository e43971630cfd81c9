//! Time and memory of a tick, a placement and a mass cancellation, and their growth.

use std::time::Duration;

use fleet::job;
use fleet::job::Decision;
use fleet::job::End;
use fleet::job::Outcome;
use fleet::job::State;
use fleet::key;

use crate::clock;
use crate::mix;
use crate::mix::Shape;
use crate::mix::Source;
use crate::site::Site;

const SIZES: [u32; 4] = [50, 300, 1_200, 4_800];
const ROUNDS: usize = 40;
/// Age of the queue at which work within a quota may preempt borrowing work.
const AGE: Duration = Duration::from_secs(90);
const CANCELLED: usize = 10_000;
/// Maximum time of a tick with 1,200 instances.
const TICK_BOUND: Duration = Duration::from_millis(5);

struct Row {
    instances: u32,
    jobs: usize,
    tick: Duration,
    max_tick: Duration,
    aged_tick: Duration,
    busy_tick: Duration,
    placement: Duration,
    report: Duration,
    cancel: Duration,
    memory_kb: u64,
    /// Kept alive, so that the next size does not reuse its memory and seem smaller.
    _site: Site,
}

pub(crate) fn run() {
    let rows: Vec<Row> = SIZES.into_iter().map(measure).collect();
    println!(
        "instances  jobs  tick us (longest)   aged us  busy us  place us  report us  cancel 10k ms    MB"
    );
    for row in &rows {
        println!(
            "{:>7} {:>7} {:>8} {:>9}  {:>8} {:>8}  {:>8}  {:>9}  {:>13} {:>5.1}",
            row.instances,
            row.jobs,
            row.tick.as_micros(),
            row.max_tick.as_micros(),
            row.aged_tick.as_micros(),
            row.busy_tick.as_micros(),
            row.placement.as_micros(),
            row.report.as_micros(),
            row.cancel.as_millis(),
            row.memory_kb as f64 / 1_024.0,
        );
    }
    for pair in rows.windows(2) {
        println!(
            "growth {} to {}: tick {:.2}, aged {:.2}, busy tick {:.2}, placement {:.2}, report {:.2}, cancel {:.2}",
            pair[0].instances,
            pair[1].instances,
            exponent(pair, |row| row.tick),
            exponent(pair, |row| row.aged_tick),
            exponent(pair, |row| row.busy_tick),
            exponent(pair, |row| row.placement),
            exponent(pair, |row| row.report),
            exponent(pair, |row| row.cancel),
        );
    }
    let full = rows.iter().find(|row| row.instances == 1_200).expect("it is one of the sizes");
    let verdict = if full.busy_tick.max(full.aged_tick) < TICK_BOUND { "kept" } else { "BROKEN" };
    println!("tick at 1200 instances under {TICK_BOUND:?}: {verdict}");
}

/// Exponent of a time's growth with the number of instances, from one size to the next.
fn exponent(pair: &[Row], of: impl Fn(&Row) -> Duration) -> f64 {
    let times = of(&pair[1]).as_secs_f64() / of(&pair[0]).as_secs_f64();
    times.ln() / (f64::from(pair[1].instances) / f64::from(pair[0].instances)).ln()
}

fn measure(instances: u32) -> Row {
    let before = clock::resident_kb();
    let mut site = mix::fleet(Shape::full(instances));
    let mut source = Source::new(1, Shape::full(instances));
    for _ in 0..instances * 10 {
        source.submit(&mut site);
    }
    mix::settle(&mut site);
    let memory_kb = clock::resident_kb().saturating_sub(before);
    let jobs = site.world.jobs.len();
    let (tick, max_tick) = quiet_ticks(&site);
    site.now = site.now + AGE;
    let (aged_tick, _) = quiet_ticks(&site);
    let busy_tick = busy_ticks(&mut site);
    let placement = placements(&mut site, &mut source);
    let report = reports(&site);
    let cancel = cancellations(&mut site, &mut source);
    Row {
        instances,
        jobs,
        tick,
        max_tick,
        aged_tick,
        busy_tick,
        placement,
        report,
        cancel,
        memory_kb,
        _site: site,
    }
}

fn plan(site: &Site) -> (Vec<Decision>, Duration) {
    clock::time(|| job::plan(&site.world, &site.index, &site.pools, site.now))
}

/// Ticks with a full queue, in which no job has ended. Median and maximum.
fn quiet_ticks(site: &Site) -> (Duration, Duration) {
    clock::median_and_max((0..ROUNDS).map(|_| plan(site).1).collect())
}

/// Ticks after one in a hundred running jobs has ended, including applying the decisions. Median.
fn busy_ticks(site: &mut Site) -> Duration {
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let running: Vec<_> = running(site).skip(round).step_by(100).collect();
        for (job, number) in running {
            let attempt = Some((number, Outcome::Succeeded));
            site.apply(&Decision::Finish { job, attempt, end: End::Succeeded });
        }
        let (_, time) = clock::time(|| {
            for decision in job::plan(&site.world, &site.index, &site.pools, site.now) {
                site.apply(&decision);
            }
        });
        times.push(time);
    }
    clock::median_and_max(times).0
}

fn running(site: &Site) -> impl Iterator<Item = (key::Job, u32)> + '_ {
    site.world.jobs.iter().filter_map(|(key, job)| match &job.state {
        State::Running(attempt) => Some((key, attempt.number)),
        _ => None,
    })
}

/// One job from its submission to its recorded start, in a pool with free capacity and an empty
/// queue. Median.
fn placements(site: &mut Site, source: &mut Source) -> Duration {
    let pool = *site.pools.iter().nth(1).expect("there are pools");
    let only = [pool].into_iter().collect();
    let queued: Vec<_> = site.world.jobs.iter().filter(|(_, job)| job.pool == pool).collect();
    let queued: Vec<_> = queued.into_iter().map(|(key, _)| key).collect();
    for job in queued {
        if let Some(decision) = job::cancel(&site.world, job) {
            site.apply(&decision);
        }
        let number = site.world.jobs.get(job).map(|job| job.last_attempt).unwrap_or_default();
        let attempt = Some((number, Outcome::Stopped));
        site.apply(&Decision::Finish { job, attempt, end: End::Cancelled });
    }
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let (_, time) = clock::time(|| {
            source.submit_to(site, 0);
            for decision in job::plan(&site.world, &site.index, &only, site.now) {
                site.apply(&decision);
            }
        });
        times.push(time);
    }
    clock::median_and_max(times).0
}

/// Average time to process one worker's report.
fn reports(site: &Site) -> Duration {
    let facts: Vec<_> = site.workers.keys().map(|&instance| report(site, instance)).collect();
    let (_, time) = clock::time(|| {
        for fact in &facts {
            std::hint::black_box(job::observe(&site.world, &site.index, fact, site.now));
        }
    });
    time / facts.len() as u32
}

fn report(site: &Site, instance: key::Instance) -> fleet::fact::Fact {
    let listed = site.index.placed(instance).filter_map(|key| {
        let job = site.world.jobs.get(key)?;
        Some(fleet::fact::Attempt {
            job: job.name.clone(),
            number: job.last_attempt,
            phase: fleet::fact::Phase::Running,
            usage: job.spec.size,
            checkpoint: None,
        })
    });
    let attempts = listed.collect();
    let taken = site.now;
    fleet::fact::Fact::Report(fleet::fact::Report { instance, boot: 0, epoch: 1, taken, attempts })
}

/// Time to cancel [`CANCELLED`] queued and running jobs, team by team.
fn cancellations(site: &mut Site, source: &mut Source) -> Duration {
    while site.index.open_jobs() < CANCELLED {
        source.submit(site);
    }
    let teams: Vec<_> = site.world.teams.iter().map(|(key, _)| key).collect();
    let (cancelled, time) = clock::time(|| {
        let mut cancelled = 0;
        for team in teams {
            for decision in job::cancel_team(&site.world, &site.index, team, None) {
                if cancelled == CANCELLED {
                    return cancelled;
                }
                cancelled += usize::from(site.apply(&decision));
            }
        }
        cancelled
    });
    assert_eq!(cancelled, CANCELLED);
    time
}
