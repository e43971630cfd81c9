//! Time and memory of a tick, a placement and a wave of cancellations, and how they grow.

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
/// Age of the queue after which work may take back what others borrowed.
const AGE: Duration = Duration::from_secs(90);
const CANCELLED: usize = 10_000;
/// The bound on a tick at 1,200 workers.
const TICK_BOUND: Duration = Duration::from_millis(5);

struct Row {
    workers: u32,
    jobs: usize,
    tick: Duration,
    longest_tick: Duration,
    aged_tick: Duration,
    busy_tick: Duration,
    placement: Duration,
    report: Duration,
    cancel: Duration,
    memory_kb: u64,
    /// Kept, so that the next size does not use its memory again.
    _site: Site,
}

pub(crate) fn run() {
    let rows: Vec<Row> = SIZES.into_iter().map(measure).collect();
    println!(
        "workers    jobs  tick us (longest)   aged us  busy us  place us  report us  cancel 10k ms    MB"
    );
    for row in &rows {
        println!(
            "{:>7} {:>7} {:>8} {:>9}  {:>8} {:>8}  {:>8}  {:>9}  {:>13} {:>5.1}",
            row.workers,
            row.jobs,
            row.tick.as_micros(),
            row.longest_tick.as_micros(),
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
            pair[0].workers,
            pair[1].workers,
            exponent(pair, |row| row.tick),
            exponent(pair, |row| row.aged_tick),
            exponent(pair, |row| row.busy_tick),
            exponent(pair, |row| row.placement),
            exponent(pair, |row| row.report),
            exponent(pair, |row| row.cancel),
        );
    }
    let full = rows.iter().find(|row| row.workers == 1_200).expect("it is one of the sizes");
    let verdict = if full.busy_tick.max(full.aged_tick) < TICK_BOUND { "kept" } else { "BROKEN" };
    println!("tick at 1200 workers under {TICK_BOUND:?}: {verdict}");
}

/// The power of the number of workers that a time grows with, from one size to the next.
fn exponent(pair: &[Row], of: impl Fn(&Row) -> Duration) -> f64 {
    let times = of(&pair[1]).as_secs_f64() / of(&pair[0]).as_secs_f64();
    times.ln() / (f64::from(pair[1].workers) / f64::from(pair[0].workers)).ln()
}

fn measure(workers: u32) -> Row {
    let before = clock::resident_kb();
    let mut site = mix::fleet(Shape::full(workers));
    let mut source = Source::new(1, Shape::full(workers));
    for _ in 0..workers * 10 {
        source.submit(&mut site);
    }
    mix::settle(&mut site);
    let memory_kb = clock::resident_kb().saturating_sub(before);
    let jobs = site.world.jobs.len();
    let (tick, longest_tick) = quiet_ticks(&site);
    site.now = site.now + AGE;
    let (aged_tick, _) = quiet_ticks(&site);
    let busy_tick = busy_ticks(&mut site);
    let placement = placements(&mut site, &mut source);
    let report = reports(&site);
    let cancel = cancellations(&mut site, &mut source);
    Row {
        workers,
        jobs,
        tick,
        longest_tick,
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

/// Ticks in which nothing has ended, with a full queue.
fn quiet_ticks(site: &Site) -> (Duration, Duration) {
    clock::middle_and_longest((0..ROUNDS).map(|_| plan(site).1).collect())
}

/// Ticks after one in a hundred running jobs has ended, with what it takes to absorb them.
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
    clock::middle_and_longest(times).0
}

fn running(site: &Site) -> impl Iterator<Item = (key::Job, u32)> + '_ {
    site.world.jobs.iter().filter_map(|(key, job)| match &job.state {
        State::Running(attempt) => Some((key, attempt.number)),
        _ => None,
    })
}

/// One job from its submission to its recorded start, in a pool with room and an empty queue.
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
    clock::middle_and_longest(times).0
}

/// What one worker's report costs.
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

/// Ten thousand queued and running jobs of some teams.
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
