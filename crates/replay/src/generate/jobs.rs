//! The shipped traces that are about jobs.

use std::collections::BTreeMap;

use fleet::config;
use fleet::config::Priority;
use fleet::config::Size;
use fleet::config::Weights;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::trace::Batch;
use crate::trace::Event;
use crate::trace::Fault;
use crate::trace::Group;
use crate::trace::Lags;
use crate::trace::Line;
use crate::trace::Setup;
use crate::trace::Trace;
use crate::trace::What;

const ORGANISATION: &str = "doces-deepavali";
const POOL: &str = "kitchen";

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60 * SECOND_MS;

/// Workers that fail every task, some with wrong sizes beside them, a worker that nothing reaches,
/// one that restarts, and a wave of cancellations, under a steady stream of jobs of two teams.
pub(super) fn black_hole_workers(seed: u64) -> Trace {
    let end = 40 * MINUTE_MS;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut lines = Vec::new();
    for second in (5..30 * 60).step_by(5) {
        let at = second * SECOND_MS;
        lines.push(batch(at, "planning", "labels", &format!("labels-{second}-"), 4));
        lines.push(batch(at, "planning", "route", &format!("route-{second}-"), 2));
        if random.random_range(0..4) == 0 {
            lines.push(batch(at, "orders", "charge", &format!("charge-{second}-"), 2));
            lines.push(batch(at, "orders", "confirm", &format!("confirm-{second}-"), 2));
        }
        if random.random_range(0..20) == 0 {
            let mut large = new_batch("planning", "route", &format!("wrong-size-{second}-"), 2);
            large.usage_percent = random.random_range(30..250);
            lines.push(line(at, Event::Submit(large)));
        }
    }
    let mut broken = new_batch("planning", "broken", "broken-", 20);
    broken.fails = true;
    lines.extend([
        line(3 * MINUTE_MS, fault("k003", Fault::FailsAll)),
        line(4 * MINUTE_MS, fault("k011", Fault::FailsAll)),
        line(6 * MINUTE_MS, Event::Submit(broken)),
        line(8 * MINUTE_MS, fault("k007", Fault::Unreachable)),
        line(10 * MINUTE_MS, fault("k007", Fault::None)),
        line(12 * MINUTE_MS, fail("k015", 120)),
        line(14 * MINUTE_MS, Event::Handover),
        batch(16 * MINUTE_MS, "planning", "night", "night-", 2_000),
        line(17 * MINUTE_MS, cancel("planning", "night")),
        line(20 * MINUTE_MS, fault("k003", Fault::None)),
        line(22 * MINUTE_MS, Event::StoreDown { secs: 30 }),
    ]);
    let kinds = BTreeMap::from([
        kind("labels", (2, 4, 0), 40, Priority::Normal, (true, false)),
        kind("route", (4, 8, 0), 60, Priority::Normal, (true, true)),
        kind("broken", (2, 4, 0), 20, Priority::Normal, (true, false)),
        kind("charge", (1, 2, 0), 20, Priority::Normal, (false, false)),
        kind("confirm", (2, 4, 0), 20, Priority::Urgent, (true, false)),
        kind("night", (8, 16, 0), 600, Priority::Batch, (true, true)),
    ]);
    let quota = |cores, memory| size((cores, memory, 0));
    let teams = BTreeMap::from([
        ("planning".to_owned(), team(quota(300, 600))),
        ("orders".to_owned(), team(quota(100, 200))),
    ]);
    let groups = vec![group("k", 20, (32, 64, 0))];
    finish(setup(groups, kinds, teams, end), lines)
}

/// A pool of 34 instances with accelerators that has more work than it can hold, in pieces of one,
/// two, four and eight, with urgent work on top.
pub(super) fn fragmented_accelerators(seed: u64) -> Trace {
    let end = 60 * MINUTE_MS;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut lines = Vec::new();
    let teams: Vec<String> = (0..8).map(|number| format!("team-{number}")).collect();
    for second in (1..55 * 60).step_by(4) {
        let nth = random.random_range(0..teams.len());
        let drawn = match random.random_range(0..100) {
            0..45 => "infer",
            45..75 => "tune",
            75..91 => "train",
            _ => "pretrain",
        };
        let name = format!("{drawn}-{second}-");
        lines.push(batch(second * SECOND_MS, &teams[nth], drawn, &name, 1));
        if second > 20 * 60 && random.random_range(0..8) == 0 {
            let name = format!("alert-{second}-");
            lines.push(batch(second * SECOND_MS, &teams[nth], "alert", &name, 1));
        }
    }
    let kinds = BTreeMap::from([
        kind("infer", (4, 16, 1), 240, Priority::Normal, (true, true)),
        kind("tune", (8, 32, 2), 360, Priority::Normal, (true, false)),
        kind("train", (16, 64, 4), 480, Priority::Normal, (true, true)),
        kind("pretrain", (32, 128, 8), 600, Priority::Batch, (true, false)),
        kind("alert", (4, 16, 1), 20, Priority::Urgent, (true, false)),
    ]);
    let share = size((110, 400, 10));
    let teams = teams.into_iter().map(|name| (name, team(share))).collect();
    let groups = vec![
        group("a", 6, (64, 256, 8)),
        group("b", 9, (32, 128, 4)),
        group("c", 6, (32, 128, 2)),
        group("d", 13, (32, 128, 0)),
    ];
    finish(setup(groups, kinds, teams, end), lines)
}

fn finish(setup: Setup, mut lines: Vec<Line>) -> Trace {
    lines.sort_by_key(|line| line.at_ms);
    Trace { setup, lines }
}

fn setup(
    groups: Vec<Group>,
    jobs: BTreeMap<String, config::Job>,
    teams: BTreeMap<String, config::Team>,
    ends_ms: u64,
) -> Setup {
    let count: u32 = groups.iter().flat_map(|group| group.pools.values()).sum();
    let pool = config::Pool { size: count, min_ready: count / 2, ..config::Pool::default() };
    let organisation = config::Organisation {
        weights: Weights::default(),
        data_centres: vec!["lisbon-a".to_owned()],
        pools: BTreeMap::from([(POOL.to_owned(), pool)]),
        teams,
        jobs,
        ..config::Organisation::default()
    };
    Setup {
        organisations: BTreeMap::from([(ORGANISATION.to_owned(), organisation)]),
        groups,
        lags: Lags::default(),
        traffic: BTreeMap::new(),
        tick_ms: 1_000,
        warm_up_ms: 0,
        ends_ms,
    }
}

fn group(prefix: &str, count: u32, capacity: (u32, u32, u32)) -> Group {
    Group {
        prefix: prefix.to_owned(),
        organisation: ORGANISATION.to_owned(),
        pools: BTreeMap::from([(POOL.to_owned(), count)]),
        data_centres: vec!["lisbon-a".to_owned()],
        rack_size: 4,
        capacity: size(capacity),
    }
}

/// A size in cores, gigabytes and accelerators.
const fn size((cores, memory_gb, accelerators): (u32, u32, u32)) -> Size {
    Size { milli_cores: cores * 1_000, memory_mb: memory_gb * 1_000, accelerators }
}

const fn team(quota: Size) -> config::Team {
    config::Team { quota, share: 1, borrows: true }
}

fn kind(
    name: &str,
    needs: (u32, u32, u32),
    seconds: u32,
    priority: Priority,
    (idempotent, preemptible): (bool, bool),
) -> (String, config::Job) {
    let (pool, size) = (POOL.to_owned(), size(needs));
    let job = config::Job { pool, size, seconds, priority, idempotent, preemptible };
    (name.to_owned(), job)
}

fn new_batch(team: &str, kind: &str, name: &str, count: u32) -> Batch {
    Batch {
        organisation: ORGANISATION.to_owned(),
        team: team.to_owned(),
        kind: kind.to_owned(),
        name: name.to_owned(),
        count,
        ..Batch::default()
    }
}

fn batch(at_ms: u64, team: &str, kind: &str, name: &str, count: u32) -> Line {
    line(at_ms, Event::Submit(new_batch(team, kind, name, count)))
}

fn fault(instance: &str, fault: Fault) -> Event {
    Event::Worker { instance: instance.to_owned(), fault }
}

fn fail(instance: &str, secs: u64) -> Event {
    Event::Fail { what: What::Instance(instance.to_owned()), secs: Some(secs) }
}

fn cancel(team: &str, kind: &str) -> Event {
    Event::Cancel {
        organisation: ORGANISATION.to_owned(),
        team: team.to_owned(),
        kind: Some(kind.to_owned()),
    }
}

const fn line(at_ms: u64, event: Event) -> Line {
    Line { at_ms, event }
}
