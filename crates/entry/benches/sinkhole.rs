//! An instance begins to fail fast, which makes it look idle: measures its share of all requests in
//! the first second, for each load-balancing policy, with one entry and with three.

mod rig;

use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use entry::Entry;
use entry::claim::Unavailable;
use entry::upstream::Policy;
use fleet::config::Service;
use rig::site;
use standin::caller::Balancer;
use standin::caller::Callers;
use standin::caller::Phase;
use standin::caller::Settings;
use standin::caller::Told;
use standin::upstream;
use standin::upstream::Faults;
use standin::upstream::Upstream;

const INSTANCES: usize = 10;
/// Requests per second.
const RATE: f64 = 1_000.0;

fn main() {
    let executor = site::executor(6);
    for entries in [1, 3] {
        for policy in [Policy::TwoRandom, Policy::LeastBusy, Policy::Random] {
            async_io::block_on(measure_fast_failures(&executor, entries, policy));
        }
    }
}

async fn measure_fast_failures(executor: &Arc<Executor<'static>>, count: usize, policy: Policy) {
    let settings = upstream::Settings { work_ms: 20, ..upstream::Settings::default() };
    let upstreams = site::upstreams(executor, INSTANCES, settings);
    let addresses: Vec<_> = upstreams.iter().map(Upstream::address).collect();
    let view = site::view(&addresses, Service::default());
    let entries: Vec<_> = (0..count)
        .map(|number| {
            let settings = entry::Settings {
                data_centre: "here".to_owned(),
                seed: number as u64,
                policy,
                ..entry::Settings::default()
            };
            Entry::bind(settings, Unavailable, view.clone())
                .expect("a loopback address can be bound")
        })
        .collect();
    let load = |name: &str, length| Settings {
        name: name.to_owned(),
        mean: RATE,
        phases: vec![Phase::mean(length)],
        target: site::TARGET.to_owned(),
        ..Settings::default()
    };
    let balancer = Balancer::new(entries.iter().map(Entry::address));
    let before = load("before", Duration::from_secs(1));
    Callers::new(executor, &balancer, before).run().await;
    upstreams[0].set(Faults { fails_fast: true, ..Faults::default() });
    let during = load("during", Duration::from_secs(1));
    let results = Callers::new(executor, &balancer, during).run().await;
    let (failed, all) = (results.count(Told::Failed), results.told.len());
    let share = failed as f64 / all as f64;
    println!("{count} entries, {policy:?}: {failed} of {all} requests failed");
    if policy == Policy::default() {
        rig::print_result(
            "fast-failing instance's share in its first second",
            share,
            share < 0.01,
            "< 0.01",
        );
    }
    for entry in &entries {
        entry.stop(Duration::ZERO, Duration::from_secs(5)).await;
    }
    Timer::after(Duration::from_millis(50)).await;
}
