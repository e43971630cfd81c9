//! Random traces: whatever can happen, at any moment, in any order.

use fleet::config;
use fleet::config::Weights;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::site::Plan;
use crate::trace::Act;
use crate::trace::Event;
use crate::trace::Line;
use crate::trace::Trace;
use crate::trace::What;

/// How long a random trace lasts, milliseconds.
const END_MS: u64 = 20 * 60_000;

/// After which nothing new happens, so that there is time to come to rest.
const QUIET_MS: u64 = 12 * 60_000;

/// The organisation of random traces.
const ORGANISATION: &str = "any";

/// The wave of random traces.
const WAVE: &str = "any/all";

/// A random trace of about `events` events over a small site.
pub fn random(seed: u64, events: u32) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = rng.random_range(2..=8);
    let plan = Plan {
        organisation: ORGANISATION,
        weights: Weights {
            buffer: rng.random_range(0.0..4.0),
            rollout: rng.random_range(0.0..4.0),
            moves: rng.random_range(0.0..4.0),
        },
        data_centres: &["east", "west"],
        pools: &["one", "two", "three"],
        spare: "spare",
        size,
        min_ready: rng.random_range(0..size),
        spare_size: rng.random_range(0..6),
        rack_size: rng.random_range(1..=5),
    };
    let mut setup = plan.setup(1_000, END_MS);
    setup.lags.restart_ms = rng.random_range(5_000..60_000);
    setup.lags.wake_ms = rng.random_range(1_000..60_000);
    setup.lags.table_ms = rng.random_range(0..4_000);
    setup.lags.list_ms = rng.random_range(0..40_000);
    if let Some(organisation) = setup.organisations.get_mut(ORGANISATION) {
        organisation.waves.insert("all".to_owned(), wave());
    }
    let count = 3 * size + plan.spare_size;
    let lines = (0..events).map(|_| {
        let at_ms = rng.random_range(0..QUIET_MS);
        Line { at_ms, event: event(&mut rng, count) }
    });
    let mut lines: Vec<_> = lines.collect();
    lines.push(Line { at_ms: 1_000, event: Event::Operator(Act::WaveStart(WAVE.to_owned())) });
    lines.sort_by_key(|line| line.at_ms);
    Trace { setup, lines }
}

fn wave() -> config::Wave {
    config::Wave {
        pools: ["one", "two", "three", "spare"].map(str::to_owned).to_vec(),
        restart_secs: 30,
        deadline_secs: 3600,
        ..config::Wave::default()
    }
}

fn event(rng: &mut ChaCha8Rng, count: u32) -> Event {
    let name = format!("w{:03}", rng.random_range(0..count));
    let secs = rng.random_range(1..120);
    match rng.random_range(0..20) {
        0..=5 => {
            let lasts = rng.random_bool(0.8).then_some(secs);
            Event::Fail { what: What::Instance(name), secs: lasts }
        }
        6..=7 => {
            let rack = format!("w-rack{:02}", rng.random_range(0..count.div_ceil(3)));
            Event::Fail { what: What::Rack(rack), secs: Some(secs) }
        }
        8 => Event::Fail { what: What::DataCentre("east".to_owned()), secs: Some(secs) },
        9 => Event::Leave { instance: name, secs },
        10 => Event::Stick { instance: name },
        11 => Event::StoreDown { secs: secs / 2 },
        12 => Event::Cut { entry: "entry".to_owned(), secs: secs / 2 },
        13 => Event::Handover,
        _ => Event::Operator(act(rng, name)),
    }
}

fn act(rng: &mut ChaCha8Rng, name: String) -> Act {
    let pool = ["one", "two", "three", "spare"][rng.random_range(0..4)];
    match rng.random_range(0..8) {
        0 => Act::Drain(name),
        1 => Act::Return(name),
        2 => Act::Move(name, format!("{ORGANISATION}/{pool}")),
        3 => Act::WavePause(WAVE.to_owned()),
        4 | 5 => Act::WaveResume(WAVE.to_owned()),
        6 => Act::WaveAbort(WAVE.to_owned()),
        _ => Act::WaveStart(WAVE.to_owned()),
    }
}
