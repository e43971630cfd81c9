//! Waiting time of urgent work at full fleet size, in virtual time.
//!
//! The site is saturated, with a backlog. The control loop steps every 250 ms, a command reaches its
//! worker with the next report, a step later, and a checkpoint takes 1.2 s.

use std::time::Duration;

use fleet::config;
use fleet::config::Priority;

use crate::mix;
use crate::mix::Shape;
use crate::mix::Source;
use crate::site::Site;
use crate::site::spec;

const INSTANCES: u32 = 1_200;
const URGENT: u32 = 600;
const BOUND: Duration = Duration::from_millis(4_600);

pub(crate) fn run() {
    let shape = Shape::full(INSTANCES);
    let mut site = mix::fleet(shape);
    let mut source = Source::new(7, shape);
    for _ in 0..INSTANCES * 10 {
        source.submit(&mut site);
    }
    mix::settle(&mut site);
    site.run(Duration::from_secs(30));
    let mut waits = Vec::new();
    let mut submitted = Vec::new();
    for number in 0..URGENT {
        if submit(&mut site, shape, number) {
            submitted.push((format!("urgent-{number}"), site.now));
        }
        source.submit(&mut site);
        if number % 3 == 0 {
            site.tick();
        }
    }
    site.run(Duration::from_secs(20));
    for (name, at) in &submitted {
        waits.push(site.first_start.get(name).map_or(Duration::MAX, |start| start.since(*at)));
    }
    waits.sort();
    let at = |percent: usize| waits[(waits.len() - 1) * percent / 100];
    let late = waits.iter().filter(|wait| **wait >= BOUND).count();
    let verdict = if at(99) < BOUND { "kept" } else { "BROKEN" };
    println!(
        "urgent start at {INSTANCES} instances, {} jobs in 50 s: p50 {:?}, p90 {:?}, p99 {:?}, {late} \
         late, {} checkpoints; p99 under {BOUND:?}: {verdict}",
        waits.len(),
        at(50),
        at(90),
        at(99),
        site.count("checkpoint"),
    );
}

/// Submits an urgent job. The jobs are spread over many teams, each of which stays within its quota.
fn submit(site: &mut Site, shape: Shape, number: u32) -> bool {
    let pool = number % shape.pools;
    let team = pool + shape.pools * (number / shape.pools % shape.teams_of_pool());
    let (cores, memory, accelerators) = [(2, 4, 0), (4, 16, 1), (8, 32, 0)][number as usize % 3];
    let spec = config::Job {
        priority: Priority::Urgent,
        seconds: 20,
        ..spec(&format!("pool-{pool}"), cores, memory, accelerators)
    };
    site.submit(&format!("urgent-{number}"), &format!("team-{team}"), "urgent", &spec).is_ok()
}
