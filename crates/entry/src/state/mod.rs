//! The tables of the request path, and the operations that change them.
//!
//! * [`State`]: services, upstreams and queued requests.
//! * [`Service`]: limits, queue, retry budget and upstreams of a service.
//! * [`Decision`]: whether a request may be sent.
//!
//! Operations take the present time as an argument and do no I/O.

mod apply;
mod decision;
mod dispatch;
mod service;

pub use decision::Decision;
pub use decision::Queued;
pub use dispatch::Admission;
pub use dispatch::Outcome;
pub use service::Service;

use std::collections::BTreeMap;

use async_channel::Sender;
use fleet::config::Revision;
use fleet::table::Table;
use fleet::time::Time;
use fleet::view;
use fleet::view::Load;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::key;
use crate::pause::Detector;
use crate::queue::Ticket;
use crate::upstream::Policy;
use crate::upstream::Upstream;

/// The tables of the request path, used by one thread.
#[derive(Debug)]
pub struct State {
    /// Revision of the view in force.
    pub revision: Revision,
    /// Services by key.
    pub services: Table<key::Route, Service>,
    /// Upstreams by key.
    pub upstreams: Table<key::Upstream, Upstream>,
    /// Detects pauses of the process.
    pub pause: Detector,
    /// Load-balancing policy.
    pub policy: Policy,
    data_centre: String,
    /// Serial of the view in force.
    serial: u64,
    routes: BTreeMap<view::Route, key::Route>,
    instances: BTreeMap<String, key::Upstream>,
    /// Services that use an upstream.
    routes_by_upstream: BTreeMap<key::Upstream, Vec<key::Route>>,
    /// Where the decisions on queued requests are sent.
    waiting: BTreeMap<(key::Route, Ticket), Sender<Decision>>,
    random: ChaCha8Rng,
}

impl State {
    /// Empty tables of an entry in `data_centre`.
    pub fn new(data_centre: impl Into<String>, seed: u64, now: Time) -> Self {
        Self {
            revision: Revision::default(),
            services: Table::default(),
            upstreams: Table::default(),
            pause: Detector::new(now),
            policy: Policy::default(),
            data_centre: data_centre.into(),
            serial: 0,
            routes: BTreeMap::new(),
            instances: BTreeMap::new(),
            routes_by_upstream: BTreeMap::new(),
            waiting: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Key of the service with this route.
    pub fn route(&self, route: &view::Route) -> Option<key::Route> {
        self.routes.get(route).copied()
    }

    /// Key of the upstream with this instance name.
    pub fn instance(&self, name: &str) -> Option<key::Upstream> {
        self.instances.get(name).copied()
    }

    /// Whether any request is queued.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The load of this entry, for its peers and for drains.
    pub fn load(&self) -> Load {
        let busy = self.upstreams.iter().filter(|(_, upstream)| upstream.in_flight > 0);
        let in_flight =
            busy.map(|(_, upstream)| (upstream.instance.clone(), upstream.in_flight)).collect();
        let services = self.services.iter().map(|(_, service)| service);
        let in_demand = services.filter(|service| service.demand() > 0);
        let demand = in_demand.map(|service| (service.route.clone(), service.demand())).collect();
        Load { serial: self.serial, in_flight, demand }
    }
}
