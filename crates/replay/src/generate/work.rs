//! The shipped traces of jobs.

use std::collections::BTreeMap;

use fleet::config;
use fleet::config::Priority;
use fleet::config::Size;
use fleet::config::Weights;

use super::shipped::MINUTE_MS;
use super::site::Plan;
use crate::trace::Event;
use crate::trace::Line;
use crate::trace::Setup;
use crate::trace::Storm;
use crate::trace::Trace;

const ORGANISATION: &str = "granite-crema";

/// Age of the workers' reports, milliseconds.
const REPORT_MS: u64 = 500;

/// A site of one working pool, whose workers have so many accelerators.
fn setup(size: u32, accelerators: u32, kinds: &[(&str, config::Job)], minutes: u64) -> Setup {
    let plan = Plan {
        organisation: ORGANISATION,
        weights: Weights::default(),
        data_centres: &["boston", "hartford", "portland", "providence"],
        pools: &["render"],
        spare: "bookings",
        size,
        min_ready: size - 4,
        spare_size: 2,
        rack_size: 4,
    };
    let mut setup = plan.setup(250, minutes * MINUTE_MS);
    setup.traffic.clear();
    setup.lags.report_ms = REPORT_MS;
    for group in &mut setup.groups {
        group.capacity.accelerators = accelerators;
    }
    if let Some(organisation) = setup.organisations.get_mut(ORGANISATION) {
        organisation.teams = teams(size, accelerators);
        organisation.jobs =
            kinds.iter().map(|(name, job)| ((*name).to_owned(), job.clone())).collect();
    }
    setup
}

/// Two teams that may each use half of the pool, and what the other leaves.
fn teams(size: u32, accelerators: u32) -> BTreeMap<String, config::Team> {
    let half = size / 2;
    let quota = Size {
        milli_cores: half * 32_000,
        memory_mb: half * 64_000,
        accelerators: half * accelerators,
    };
    let team = config::Team { quota, share: 1, borrows: true };
    ["instructors", "trainees"].map(|name| (name.to_owned(), team.clone())).into()
}

fn kind(priority: Priority, cores: u32, accelerators: u32, seconds: u32) -> config::Job {
    config::Job {
        pool: "render".to_owned(),
        size: Size { milli_cores: cores * 1_000, memory_mb: cores * 1_500, accelerators },
        seconds,
        priority,
        idempotent: true,
        preemptible: priority == Priority::Batch,
    }
}

fn storm((prefix, kind): (&str, &str), team: &str, count: u32, over_ms: u64) -> Storm {
    Storm {
        prefix: prefix.to_owned(),
        organisation: ORGANISATION.to_owned(),
        team: team.to_owned(),
        kind: kind.to_owned(),
        count,
        over_ms,
        real_percent: (100, 100),
    }
}

const fn line(at_ms: u64, event: Event) -> Line {
    Line { at_ms, event }
}

/// Two workers fail every task, sizes and times are far off, and most of the batch work is
/// cancelled while it waits and runs.
pub(super) fn black_hole_workers() -> Trace {
    let certificate = config::Job { idempotent: false, ..kind(Priority::Normal, 2, 0, 20) };
    let kinds = [
        ("score", kind(Priority::Urgent, 2, 0, 10)),
        ("certificate", certificate),
        ("report", kind(Priority::Normal, 4, 0, 30)),
        ("archive", kind(Priority::Batch, 8, 0, 120)),
        ("colossus", kind(Priority::Normal, 64, 0, 60)),
    ];
    let end = 20 * MINUTE_MS;
    let wrong = |storm: Storm| Storm { real_percent: (40, 180), ..storm };
    let batch = storm(("archive-", "archive"), "trainees", 400, MINUTE_MS);
    let urgent = storm(("score-", "score"), "instructors", 240, 15 * MINUTE_MS);
    let once = storm(("certificate-", "certificate"), "instructors", 300, 15 * MINUTE_MS);
    let normal = storm(("report-", "report"), "trainees", 300, 15 * MINUTE_MS);
    let never = storm(("colossus-", "colossus"), "trainees", 5, MINUTE_MS);
    let burn = |number: u32| Event::Burn { instance: format!("w{number:03}"), secs: 15 * 60 };
    let lines = vec![
        line(1_000, Event::Jobs(wrong(batch))),
        line(1_000, Event::Jobs(wrong(urgent))),
        line(1_000, Event::Jobs(wrong(once))),
        line(1_000, Event::Jobs(wrong(normal))),
        line(1_000, Event::Jobs(never)),
        line(2 * MINUTE_MS, burn(1)),
        line(3 * MINUTE_MS, burn(6)),
        line(6 * MINUTE_MS, Event::Cancel { prefix: "archive-".to_owned(), count: 360 }),
        line(8 * MINUTE_MS, Event::Handover),
    ];
    Trace { setup: setup(16, 0, &kinds, end / MINUTE_MS), lines }
}

/// Jobs of one, two, four and eight accelerators come and go until the fleet is full of holes;
/// urgent work comes all along.
pub(super) fn fragmented_accelerators() -> Trace {
    let kinds = [
        ("one", kind(Priority::Batch, 2, 1, 90)),
        ("two", kind(Priority::Batch, 3, 2, 150)),
        ("four", kind(Priority::Batch, 6, 4, 210)),
        ("eight", kind(Priority::Batch, 12, 8, 240)),
        ("now", kind(Priority::Urgent, 2, 1, 20)),
    ];
    let varied = |storm: Storm| Storm { real_percent: (40, 160), ..storm };
    let long = 16 * MINUTE_MS;
    let lines = [
        (("one-", "one"), "trainees", 1_400),
        (("two-", "two"), "instructors", 600),
        (("four-", "four"), "trainees", 300),
        (("eight-", "eight"), "instructors", 180),
        (("now-", "now"), "instructors", 160),
    ];
    let lines = lines.map(|(names, team, count)| {
        line(1_000, Event::Jobs(varied(storm(names, team, count, long))))
    });
    Trace { setup: setup(24, 8, &kinds, 20), lines: lines.to_vec() }
}
