//! The routing table for the request path: services and their upstreams.
//!
//! The control loop builds a complete [`View`] and hands it to the request path, which thus never
//! sees a partly updated one.

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
    /// New requests may be sent.
    #[default]
    #[display("open")]
    Open,
    /// It is draining or about to be removed: no new requests, even if no other upstream is healthy.
    #[display("leaving")]
    Leaving,
}

/// An instance to which the request path sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name of the instance.
    pub instance: String,
    /// Address it listens on, as `ip:port`.
    pub address: std::net::SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether new requests may be sent to it.
    pub availability: Availability,
    /// Name of the pool that it belongs to, which differs from the service's own for lent slots.
    pub pool: String,
    /// Slots that other entries report as in use.
    pub used_elsewhere: u32,
}

/// A service and its upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Its limits.
    pub service: Service,
    /// Instances of its own pool, sorted by name.
    pub upstreams: Vec<Upstream>,
    /// Instances of other pools that lend it slots, sorted by name.
    pub lent: Vec<Upstream>,
    /// Relative share of each configured team, by name.
    pub shares: BTreeMap<String, u32>,
}

/// Routes, upstreams and limits for the request path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Revision of the configuration it was built from.
    pub revision: Revision,
    /// Serial number, which increases with each view that a process builds.
    pub serial: u64,
    /// Number of entries that share the upstreams' slots and connections.
    pub entries: u32,
    /// Targets by route.
    pub targets: BTreeMap<Route, Target>,
}

/// Load that one entry reports to its peers, also to track drains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The latest [`View::serial`] that is in use for every new request.
    pub serial: u64,
    /// Requests in flight by instance name, without instances that have none.
    pub in_flight: BTreeMap<String, u32>,
    /// Requests queued or in flight by route.
    pub demand: BTreeMap<Route, u32>,
}
