//! What a request path is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use http::Limits;

use crate::upstream::Policy;

/// What a request path is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This entry's name on the instance list.
    pub name: String,
    /// Its data centre; upstreams there are preferred.
    pub data_centre: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Bounds on callers' messages. Bodies are bounded by what the services take.
    pub limits: Limits,
    /// Callers' connections at a time; more are not accepted until some end.
    pub connections: usize,
    /// How long an idempotency key and its answer are kept.
    pub key_retention: Duration,
    /// How long a claim on an idempotency key may take.
    pub claim_timeout: Duration,
    /// How upstreams are chosen.
    pub policy: Policy,
    /// Seed of the random choices between upstreams and of made-up request ids.
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
