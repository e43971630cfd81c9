//! The traces that are shipped, each with its outcome beside it.

use fleet::config;
use fleet::config::Weights;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::site::Plan;
use super::work;
use crate::trace::Act;
use crate::trace::Event;
use crate::trace::Line;
use crate::trace::Trace;
use crate::trace::What;

/// Names of the shipped traces.
pub const NAMES: [&str; 5] = [
    "lisbon-pre-order-peak",
    "new-england-class-day",
    "wave-through-rack-failures",
    "black-hole-workers",
    "fragmented-accelerators",
];

/// The seed of the shipped traces.
pub const SEED: u64 = 1;

/// Milliseconds in a minute.
pub(super) const MINUTE_MS: u64 = 60_000;

/// How many times its mean a queue bursts to.
const BURST: f64 = 5.0;

/// To what part of its mean it then falls.
const LULL: f64 = 0.05;

const LISBON: Plan<'_> = Plan {
    organisation: "doces-deepavali",
    weights: Weights { buffer: 3.0, rollout: 1.0, moves: 1.0 },
    data_centres: &["lisbon-a", "lisbon-b", "lisbon-c"],
    pools: &["courier", "families", "kitchen", "partners", "payments"],
    spare: "admin",
    size: 10,
    min_ready: 8,
    spare_size: 8,
    rack_size: 4,
};

const NEW_ENGLAND: Plan<'_> = Plan {
    organisation: "granite-crema",
    weights: Weights { buffer: 1.0, rollout: 1.0, moves: 3.0 },
    data_centres: &["boston", "hartford", "portland", "providence"],
    pools: &["accounts", "catalogue", "certificates", "classroom", "scores"],
    spare: "bookings",
    size: 10,
    min_ready: 8,
    spare_size: 8,
    rack_size: 4,
};

/// How long the site of a shipped trace runs before it, milliseconds.
const WARM_UP_MS: u64 = 90 * MINUTE_MS;

/// The shipped trace of this name.
pub fn shipped(name: &str, seed: u64) -> Option<Trace> {
    let mut trace = match name {
        "black-hole-workers" => return Some(work::black_hole_workers()),
        "fragmented-accelerators" => return Some(work::fragmented_accelerators()),
        "lisbon-pre-order-peak" => lisbon(seed),
        "new-england-class-day" => new_england(seed),
        "wave-through-rack-failures" => wave_through_rack_failures(),
        _ => return None,
    };
    trace.setup.warm_up_ms = WARM_UP_MS;
    trace.lines.sort_by_key(|line| line.at_ms);
    Some(trace)
}

/// Queues take turns at five times their mean, while an instance, a rack and one more instance
/// fail.
fn lisbon(seed: u64) -> Trace {
    let end = 40 * MINUTE_MS;
    let mut lines = bursts(&LISBON, 0, end, seed);
    lines.extend([
        fail(10 * MINUTE_MS, instance("w003"), Some(8 * 60)),
        fail(20 * MINUTE_MS, What::Rack("w-rack03".to_owned()), Some(6 * 60)),
        fail(30 * MINUTE_MS, instance("w017"), None),
    ]);
    Trace { setup: LISBON.setup(250, end), lines }
}

/// Classes on the hour: bursts, scattered failures, an operator at work and one small wave.
fn new_england(seed: u64) -> Trace {
    let end = 180 * MINUTE_MS;
    let mut lines = Vec::new();
    for hour in 0..3 {
        let start = hour * 60 * MINUTE_MS;
        lines.extend(bursts(&NEW_ENGLAND, start, start + 10 * MINUTE_MS, seed + hour));
    }
    lines.extend([
        fail(12 * MINUTE_MS, instance("w000"), Some(4 * 60)),
        fail(25 * MINUTE_MS, instance("w011"), Some(3 * 60)),
        fail(40 * MINUTE_MS, instance("w022"), None),
        operator(50 * MINUTE_MS, Act::Drain("w033".to_owned())),
        operator(55 * MINUTE_MS, Act::Return("w033".to_owned())),
        fail(70 * MINUTE_MS, instance("w008"), Some(20 * 60)),
        fail(72 * MINUTE_MS, instance("w014"), Some(20 * 60)),
        operator(100 * MINUTE_MS, Act::WaveStart("granite-crema/kernel".to_owned())),
        fail(150 * MINUTE_MS, instance("w031"), Some(5 * 60)),
    ]);
    let mut setup = NEW_ENGLAND.setup(1_000, end);
    if let Some(organisation) = setup.organisations.get_mut(NEW_ENGLAND.organisation) {
        organisation.waves.insert("kernel".to_owned(), wave(&["classroom"]));
    }
    Trace { setup, lines }
}

/// A wave over every working pool, through the failure of two racks, a restart that never comes
/// back, new holders, an entry that is cut off and a table service that is down.
fn wave_through_rack_failures() -> Trace {
    let end = 300 * MINUTE_MS;
    let mut setup = LISBON.setup(2_000, end);
    if let Some(organisation) = setup.organisations.get_mut(LISBON.organisation) {
        organisation.weights = Weights::default();
        organisation.waves.insert("kernel".to_owned(), wave(LISBON.pools));
    }
    let lines = vec![
        operator(MINUTE_MS, Act::WaveStart("doces-deepavali/kernel".to_owned())),
        line(5 * MINUTE_MS, Event::Handover),
        line(8 * MINUTE_MS, Event::Stick { instance: "w013".to_owned() }),
        fail(15 * MINUTE_MS, What::Rack("w-rack02".to_owned()), Some(30 * 60)),
        line(20 * MINUTE_MS, Event::Cut { entry: "entry-b1".to_owned(), secs: 60 }),
        line(25 * MINUTE_MS, Event::StoreDown { secs: 60 }),
        fail(35 * MINUTE_MS, What::Rack("w-rack07".to_owned()), None),
        line(40 * MINUTE_MS, Event::Handover),
    ];
    Trace { setup, lines }
}

fn wave(pools: &[&str]) -> config::Wave {
    config::Wave {
        pools: pools.iter().map(|&pool| pool.to_owned()).collect(),
        action: config::Action::Reboot,
        restart_secs: 300,
        deadline_secs: 2 * 3600,
        auto_start: false,
    }
}

/// Queues take turns: one bursts for some seconds and then falls far below its mean.
fn bursts(plan: &Plan<'_>, from_ms: u64, to_ms: u64, seed: u64) -> Vec<Line> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut lines = Vec::new();
    let mut at = from_ms;
    for pool in plan.pools.iter().cycle() {
        at += rng.random_range(5_000..15_000);
        let burst = rng.random_range(5_000..15_000);
        let lull = rng.random_range(20_000..40_000);
        if at + burst + lull > to_ms {
            break;
        }
        lines.push(load(plan.organisation, pool, at, BURST, burst));
        lines.push(load(plan.organisation, pool, at + burst, LULL, lull));
        at += burst;
    }
    lines
}

fn load(organisation: &str, pool: &str, at_ms: u64, times: f64, for_ms: u64) -> Line {
    let (organisation, pool) = (organisation.to_owned(), pool.to_owned());
    line(at_ms, Event::Load { organisation, pool, times, for_ms })
}

fn instance(name: &str) -> What {
    What::Instance(name.to_owned())
}

const fn fail(at_ms: u64, what: What, secs: Option<u64>) -> Line {
    line(at_ms, Event::Fail { what, secs })
}

const fn operator(at_ms: u64, act: Act) -> Line {
    line(at_ms, Event::Operator(act))
}

const fn line(at_ms: u64, event: Event) -> Line {
    Line { at_ms, event }
}
