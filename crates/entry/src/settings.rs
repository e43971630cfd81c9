//! Settings of the request path.

use std::net::SocketAddr;
use std::time::Duration;

use http::Limits;

use crate::upstream::Policy;

/// Settings of the request path, fixed when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this entry on the instance list.
    pub name: String,
    /// Data centre of this entry; upstreams in it are preferred.
    pub data_centre: String,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Limits on callers' messages, except for the length of bodies: each service sets its own.
    pub limits: Limits,
    /// Maximum number of open connections from callers; further ones are accepted when others
    /// close.
    pub connections: usize,
    /// How long an idempotency key and its response are kept.
    pub key_retention: Duration,
    /// Timeout for claiming an idempotency key.
    pub claim_timeout: Duration,
    /// Load-balancing policy.
    pub policy: Policy,
    /// Seed of the random choices between upstreams; also part of generated request ids.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "entry".to_owned(),
            data_centre: String::new(),
            callers: SocketAddr::from(([127, 0, 0, 1], 0)),
            limits: Limits::default(),
            connections: 4_096,
            key_retention: Duration::from_secs(24 * 60 * 60),
            claim_timeout: Duration::from_secs(2),
            policy: Policy::default(),
            seed: 0,
        }
    }
}
