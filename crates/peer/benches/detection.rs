//! How soon deaths are noticed and how often the living are taken for dead, in virtual time, beside
//! members that probe each other directly.
//!
//! `cargo bench -p peer --bench detection`

#[path = "../tests/network/mod.rs"]
mod network;

use std::time::Duration;

use network::Network;
use peer::Status;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);
/// Virtual time in which the living must not be taken for dead.
const WATCH_SECS: u64 = 120;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Members that are killed for each seed.
const KILLS: usize = 4;

fn main() {
    // `cargo test` runs benches too, with no argument of ours.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for members in [9, 72] {
        for (loss, half_cut) in [(0.0, false), (0.2, false), (0.0, true), (0.2, true)] {
            living(members, loss, half_cut);
        }
        deaths(members, 0.0);
        deaths(members, 0.2);
        revisions(members);
    }
}

fn whole(members: usize, seed: u64) -> Network {
    let mut network = Network::new(members, seed);
    network.run_until(SECOND * 30, Network::is_whole).expect("they find together");
    network
}

/// Counts how often a living member is taken for suspect or dead, by gossip and by direct probes.
fn living(members: usize, loss: f64, half_cut: bool) {
    let (mut suspects, mut deaths, mut looks) = (0, 0, 0);
    let mut probed = 0;
    for seed in SEEDS {
        let mut network = whole(members, seed);
        network.loss = loss;
        if half_cut {
            network.cut(0, 1);
        }
        for _ in 0..WATCH_SECS * 2 {
            network.run(SECOND / 2);
            for number in 0..members {
                for member in network.members(number) {
                    looks += 1;
                    suspects += u64::from(member.status == Status::Suspect);
                    deaths += u64::from(member.status > Status::Suspect);
                }
            }
        }
        probed += direct(members, loss, half_cut, seed);
    }
    println!(
        "living members={members} loss={loss} half_cut={half_cut} seeds={SEEDS:?} \
         virtual_secs={WATCH_SECS} looks={looks} suspect={suspects} dead={deaths} \
         direct_probes_dead={probed}"
    );
}

/// Each member probes one other after the other in each round, as many as gossip tells, and takes
/// it for dead when as many probes in a row as gossip waits rounds for brought no answer, within the
/// same bytes a second. Returns looks at which one was taken for dead.
fn direct(members: usize, loss: f64, half_cut: bool, seed: u64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let timing = peer::membership::Timing::among(members);
    let rounds = (SECOND.as_secs_f64() * WATCH_SECS as f64 / timing.round.as_secs_f64()) as u64;
    let patience = (timing.dead.as_secs_f64() / timing.round.as_secs_f64()) as u64;
    // A probe and its answer are some 100 bytes against gossip's 10 for each member.
    let probes = (3 * members * 10 / 200).clamp(1, members - 1);
    let mut answered = vec![vec![0_u64; members]; members];
    let mut dead = 0;
    for round in 1..=rounds {
        for (from, answered) in answered.iter_mut().enumerate() {
            for probe in 0..probes {
                let step = (round as usize * probes + probe) % (members - 1);
                let to = (from + 1 + step) % members;
                let cut = half_cut && ((from, to) == (0, 1) || (from, to) == (1, 0));
                let lost = random.random_bool(loss) || random.random_bool(loss);
                if !cut && !lost {
                    answered[to] = round;
                }
            }
        }
        let interval = ((members - 1) / probes).max(1) as u64;
        let late = patience.max(interval * 2);
        for (from, answered) in answered.iter().enumerate() {
            let others = answered.iter().enumerate().filter(|(to, _)| *to != from);
            dead += others.filter(|(_, last)| round - **last > late).count() as u64;
        }
    }
    dead
}

/// Time from a death until the first and until the last member knows.
fn deaths(members: usize, loss: f64) {
    let (mut first, mut last): (Vec<Duration>, Vec<Duration>) = (Vec::new(), Vec::new());
    for seed in SEEDS {
        let mut network = whole(members, seed);
        network.loss = loss;
        for kill in 0..KILLS {
            network.run(SECOND * 2);
            let victim = members - 1 - kill;
            network.kill(victim);
            let knows = |network: &Network, number| {
                network.status(number, victim).is_none_or(|status| status == Status::Dead)
            };
            let begin = network.now;
            let any = |network: &Network| (0..victim).any(|number| knows(network, number));
            network.run_until(SECOND * 20, any).expect("it is noticed");
            first.push(network.now.since(begin));
            let all = |network: &Network| (0..victim).all(|number| knows(network, number));
            network.run_until(SECOND * 20, all).expect("it is noticed by all");
            last.push(network.now.since(begin));
        }
    }
    first.sort();
    last.sort();
    println!(
        "deaths members={members} loss={loss} seeds={SEEDS:?} kills={} first_median_ms={} \
         last_median_ms={} last_max_ms={}",
        first.len(),
        first[first.len() / 2].as_millis(),
        last[last.len() / 2].as_millis(),
        last[last.len() - 1].as_millis()
    );
}

/// Time from an offer until all have the revision, pulls taking one look.
fn revisions(members: usize) {
    let mut times = Vec::new();
    for seed in SEEDS {
        let mut network = whole(members, seed);
        for revision in 1..=10 {
            network.offer(revision as usize % members, revision);
            let all =
                |network: &Network| (0..members).all(|number| network.revision(number) == revision);
            times.push(network.run_until(SECOND * 20, all).expect("it reaches all"));
        }
    }
    times.sort();
    println!(
        "revisions members={members} seeds={SEEDS:?} count={} median_ms={} max_ms={}",
        times.len(),
        times[times.len() / 2].as_millis(),
        times[times.len() - 1].as_millis()
    );
}
