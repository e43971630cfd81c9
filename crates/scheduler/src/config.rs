//! Queues and services as the operator wrote them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Rises with each change; nought before the first.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on callers' messages.
    pub limits: Limits,
}

/// A queue of jobs, found by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that lead here.
    pub prefix: String,
    /// Service whose instances run its tasks.
    pub service: String,
    /// Nought goes first.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// How many times the longest chain of work a job may take.
    pub stretch: f64,
    /// Time that a job may take beyond that.
    pub target_latency: Duration,
    /// Longest wait of a caller for an answer.
    pub timeout: Duration,
    /// Whether tasks need a ticket of the advice service.
    pub advised: bool,
}

/// A pool of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether its instances refuse what does not fit.
    pub admission_check: bool,
    /// Whether its machines are switched off.
    pub standby: bool,
    /// Most connections to one instance, of all callers together.
    pub max_connections: u32,
}

/// Bounds on callers' messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a head.
    pub head: usize,
    /// Bytes of a body.
    pub body: usize,
    /// How long a caller may take over a message.
    pub message: Duration,
    /// How long a connection may wait for its next request.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 256 << 10,
            message: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// The queue with the longest prefix of `path` under `host`, its name, and the rest of the path.
    pub fn route<'call>(&self, host: &str, path: &'call str) -> Option<(&str, &Queue, &'call str)> {
        let host = host.split(':').next().unwrap_or_default();
        let matching = self.queues.iter().filter_map(|(name, queue)| {
            let rest = path.strip_prefix(queue.prefix.as_str())?;
            queue.host.eq_ignore_ascii_case(host).then_some((name.as_str(), queue, rest))
        });
        matching.max_by_key(|(_, queue, _)| queue.prefix.len())
    }

    /// Services whose machines are switched off.
    pub fn is_standby(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.standby)
    }
}
