//! What the request path needs to know of the fleet: services and where they may be sent.
//!
//! A [`View`] is built by the control loop and handed to the request path whole; the request path
//! never sees a half-changed one.

mod build;

pub use build::Context;
pub use build::build;

use std::collections::BTreeMap;

use derive_more::Display;

use crate::config::Revision;
use crate::config::Service;

/// A route: the organisation and the service, the first two segments of a request's path.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{organisation}/{service}")]
pub struct Route {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the service.
    pub service: String,
}

/// Whether new requests may be sent to an upstream.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// Yes.
    #[default]
    #[display("open")]
    Open,
    /// It is leaving: nothing new, whatever the health of the others.
    #[display("leaving")]
    Leaving,
}

/// An upstream as the request path sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name of the instance.
    pub instance: String,
    /// Where it listens, as `ip:port`.
    pub address: std::net::SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether new requests may be sent to it.
    pub availability: Availability,
    /// Name of the pool that has it, which differs from the service's own when slots are lent.
    pub pool: String,
    /// Slots that other entries report in use.
    pub used_elsewhere: u32,
}

/// A service and its upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Its limits.
    pub service: Service,
    /// Instances of its own pool, by name.
    pub upstreams: Vec<Upstream>,
    /// Instances of other pools that lend it slots.
    pub lent: Vec<Upstream>,
    /// Relative share of each team, by name, where one is configured.
    pub shares: BTreeMap<String, u32>,
}

/// Everything the request path needs, at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The revision it was built from.
    pub revision: Revision,
    /// Rises with each view that one process builds.
    pub serial: u64,
    /// How many entries share the upstreams' slots and connections.
    pub entries: u32,
    /// Targets by route.
    pub targets: BTreeMap<Route, Target>,
}

/// What one entry reports about its requests, for its peers and for the drains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The last [`View::serial`] that every new request is sent by.
    pub serial: u64,
    /// Requests in flight by instance name; those with none are left out.
    pub in_flight: BTreeMap<String, u32>,
    /// Requests queued or in flight by route.
    pub demand: BTreeMap<Route, u32>,
}
