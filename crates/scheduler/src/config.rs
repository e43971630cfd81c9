//! Queues and services, as the operator configured them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::job::Terms;

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Rises with each change; zero before the first.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Tenants by name; None if the site has none, so that calls need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<BTreeMap<String, Tenant>>,
}

/// A queue of jobs, selected by the host and path of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host name of requests to this queue.
    pub host: String,
    /// Path prefix of requests to this queue.
    pub prefix: String,
    /// Service whose instances run its tasks.
    pub service: String,
    /// Priority of its jobs; zero is the highest.
    pub priority: u32,
    /// Number of failed runs of one task that makes its job fail.
    pub max_attempts: u32,
    /// Time that a job may take, as a multiple of the length of its critical path.
    pub stretch: f64,
    /// Time that a job may take in addition to `stretch` times its critical path.
    pub target_latency: Duration,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Whether tasks need a ticket from the advice service.
    pub advised: bool,
    /// Whether calls to it need no key, also where there are tenants. Its jobs have no tenant.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// A tenant: who its calls are known by, and what its jobs may use.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Keys of its calls.
    pub keys: BTreeSet<String>,
    /// Its share when all is full, relative to those of others; also the number of jobs a second that are owed to it.
    pub weight: f64,
    /// What its tasks may use at once.
    pub cap: Cap,
}

/// Shows no key.
impl fmt::Debug for Tenant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Tenant");
        let shown = shown.field("keys", &self.keys.len()).field("weight", &self.weight);
        shown.field("cap", &self.cap).finish()
    }
}

/// What the tasks of a tenant may use at once, over all instances; zero means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Cap {
    /// CPU in millicores.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

/// A pool of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether its instances refuse runs that exceed their free capacity.
    pub admission_check: bool,
    /// Whether it is a standby pool, whose machines are switched off.
    pub standby: bool,
    /// Maximum number of connections to one instance, over all callers.
    pub max_connections: u32,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum time to receive a request.
    pub message: Duration,
    /// Maximum time that a connection may be idle between requests.
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
    /// The queue under `host` with the longest prefix of `path`: its name, the queue, and the rest
    /// of the path.
    pub fn route<'path>(&self, host: &str, path: &'path str) -> Option<(&str, &Queue, &'path str)> {
        let host = host.split(':').next().unwrap_or_default();
        let matching = self.queues.iter().filter_map(|(name, queue)| {
            let rest = path.strip_prefix(queue.prefix.as_str())?;
            queue.host.eq_ignore_ascii_case(host).then_some((name.as_str(), queue, rest))
        });
        matching.max_by_key(|(_, queue, _)| queue.prefix.len())
    }

    /// Whether a caller may see and cancel a job. `caller`: the tenant of its key, if it has one. `owner`: the tenant
    /// on whose behalf the job runs, if it has one. `queue`: the job's.
    ///
    /// Jobs without an owner came without a key, so that their callers have none to show.
    pub fn may_access(&self, caller: Option<&str>, owner: Option<&str>, queue: &str) -> bool {
        let is_public = || self.queues.get(queue).is_some_and(|queue| queue.public);
        self.tenants.is_none() || owner.is_none() || caller == owner || is_public()
    }

    /// Terms of a job that is only known by the names of its queue and service: those of the queue, or, if that is gone,
    /// of the queue that allows the fewest attempts, of its service if there is one.
    pub fn terms(&self, queue: &str, service: &str) -> Terms {
        let fewest = |of_service: bool| {
            let queues = self.queues.values().filter(|it| !of_service || it.service == service);
            queues.min_by_key(|queue| queue.max_attempts)
        };
        let queue = self.queues.get(queue).or_else(|| fewest(true)).or_else(|| fewest(false));
        queue.map_or(Terms::STRICTEST, Terms::from)
    }

    /// Whether a service is a standby pool, whose machines are switched off.
    pub fn is_standby(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.standby)
    }
}
