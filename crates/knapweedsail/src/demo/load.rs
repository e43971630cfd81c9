//! Callers of every service, whose queues burst in turn.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use fleet::config::Repeat;
use fleet::config::Service;
use fleet::view::Route;
use serde::Deserialize;
use serde::Serialize;
use standin::caller;
use standin::caller::Callers;
use standin::caller::Phase;

use super::Site;

/// The load on a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// How long callers send, milliseconds.
    pub length_ms: u64,
    /// The mean rate of a service, as a share of what its pool can hold.
    pub share: f64,
    /// How long a queue's burst to five times its mean takes, milliseconds; as long a lull to a
    /// twentieth follows.
    pub burst_ms: u64,
    /// Bytes of every body.
    pub body: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self { length_ms: 18_000, share: 0.18, burst_ms: 1_500, body: 64 }
    }
}

/// What was sent to one service, and what its callers were told.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) repeat: Repeat,
    pub(super) report: caller::Report,
}

/// Starts the callers of every service of the site.
pub(super) fn spawn(
    executor: &Arc<Executor<'static>>,
    site: &Site,
    load: &Load,
    seed: u64,
) -> Vec<Task<Sent>> {
    let services = site.services();
    let count = services.len();
    let start = |(turn, (route, service, slots)): (usize, (Route, Service, u32))| {
        let mean = f64::from(slots) / (site.plan().work_ms as f64 / 1_000.0) * load.share;
        let settings = caller::Settings {
            seed: seed.wrapping_add(turn as u64),
            name: format!("{}-{}", route.organisation, route.service),
            mean,
            phases: phases(load, turn, count),
            target: format!("/{route}/order"),
            body: load.body,
            keyed: service.repeat == Repeat::Keyed,
            timeout: Duration::from_millis(service.timeout_ms.into()),
            ..caller::Settings::default()
        };
        let callers = Callers::new(executor, site.balancer(), settings);
        let repeat = service.repeat;
        executor.spawn(async move { Sent { repeat, report: callers.run().await } })
    };
    services.into_iter().enumerate().map(start).collect()
}

/// A burst and a lull when it is the service's turn, the mean before and after.
fn phases(load: &Load, turn: usize, services: usize) -> Vec<Phase> {
    let length = Duration::from_millis(load.length_ms);
    let burst = Duration::from_millis(load.burst_ms);
    let last = length.saturating_sub(burst * 2);
    let before = last * turn as u32 / services.max(1) as u32;
    let after = last.saturating_sub(before);
    vec![Phase::mean(before), Phase::burst(burst), Phase::lull(burst), Phase::mean(after)]
}
