//! Sites that the generated traces take place at.

use std::collections::BTreeMap;

use fleet::config;
use fleet::config::Size;
use fleet::config::Weights;

use crate::trace::Group;
use crate::trace::Lags;
use crate::trace::Setup;
use crate::trace::Traffic;

/// What a site is made of.
pub(super) struct Plan<'a> {
    pub(super) organisation: &'a str,
    pub(super) weights: Weights,
    pub(super) data_centres: &'a [&'a str],
    /// Pools that work.
    pub(super) pools: &'a [&'a str],
    /// The spare pool.
    pub(super) spare: &'a str,
    /// Instances of each working pool.
    pub(super) size: u32,
    /// How many of them are promised.
    pub(super) min_ready: u32,
    /// Instances of the spare pool.
    pub(super) spare_size: u32,
    pub(super) rack_size: u32,
}

/// Slots of a runner.
const SLOTS: u32 = 8;

/// Instances that a spare pool's own service needs.
const SPARE_MIN_READY: u32 = 2;

/// A worker of today.
const WORKER: Size = Size { milli_cores: 32_000, memory_mb: 64_000, accelerators: 0 };

impl Plan<'_> {
    /// The site, with everything configured and nothing happening yet.
    pub(super) fn setup(&self, tick_ms: u64, ends_ms: u64) -> Setup {
        let name = self.organisation.to_owned();
        let traffic = self.pools.iter().map(|pool| (format!("{name}/{pool}"), traffic(100.0)));
        let spare = (format!("{name}/{}", self.spare), traffic_of_spare());
        Setup {
            organisations: BTreeMap::from([(name.clone(), self.organisation())]),
            groups: vec![self.group()],
            lags: Lags::default(),
            traffic: traffic.chain([spare]).collect(),
            tick_ms,
            warm_up_ms: 0,
            ends_ms,
        }
    }

    fn organisation(&self) -> config::Organisation {
        let working = self.pools.iter().map(|&pool| (pool.to_owned(), self.pool()));
        let spare = config::Pool {
            size: self.spare_size,
            min_ready: SPARE_MIN_READY.min(self.spare_size),
            spare: true,
            lends: true,
        };
        let services = self.pools.iter().chain([&self.spare]).map(|&pool| {
            let service = config::Service {
                pool: pool.to_owned(),
                slots: SLOTS,
                ..config::Service::default()
            };
            (pool.to_owned(), service)
        });
        config::Organisation {
            weights: self.weights,
            data_centres: self.data_centres.iter().map(|&name| name.to_owned()).collect(),
            pools: working.chain([(self.spare.to_owned(), spare)]).collect(),
            services: services.collect(),
            ..config::Organisation::default()
        }
    }

    const fn pool(&self) -> config::Pool {
        config::Pool { size: self.size, min_ready: self.min_ready, spare: false, lends: true }
    }

    fn group(&self) -> Group {
        let working = self.pools.iter().map(|&pool| (pool.to_owned(), self.size));
        Group {
            prefix: "w".to_owned(),
            organisation: self.organisation.to_owned(),
            pools: working.chain([(self.spare.to_owned(), self.spare_size)]).collect(),
            data_centres: self.data_centres.iter().map(|&name| name.to_owned()).collect(),
            rack_size: self.rack_size,
            capacity: WORKER,
        }
    }
}

/// Requests of a fifth of a second each.
const fn traffic(per_second: f64) -> Traffic {
    Traffic { per_second, service_ms: 200, patience_ms: 2_000 }
}

const fn traffic_of_spare() -> Traffic {
    traffic(20.0)
}
