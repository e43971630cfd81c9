//! The items of a [`Config`](super::Config), one plain struct each.

use std::collections::BTreeMap;

use derive_more::Add;
use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// One organisation: its pools, services, teams, jobs and waves, and the weights of its costs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Relative weights of its costs.
    #[serde(default)]
    pub weights: Weights,
    /// Names of its data centres.
    #[serde(default)]
    pub data_centres: Vec<String>,
    /// Pools by name.
    #[serde(default)]
    pub pools: BTreeMap<String, Pool>,
    /// Services by name. The route of a service is `/<organisation>/<service>/`.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<String, Team>,
    /// Kinds of job that may be submitted, by name.
    #[serde(default)]
    pub jobs: BTreeMap<String, Job>,
    /// Maintenance waves by name.
    #[serde(default)]
    pub waves: BTreeMap<String, Wave>,
}

/// Relative weights of the three costs; only their ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Cost of spare capacity held in reserve.
    pub buffer: f64,
    /// Cost of the time that a configuration change or wave takes.
    pub rollout: f64,
    /// Cost of moving instances and jobs.
    pub moves: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { buffer: 1.0, rollout: 1.0, moves: 1.0 }
    }
}

/// A pool of instances and its minimum availability.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Number of instances that it should have.
    pub size: u32,
    /// Number of instances that must be serving at any time. The remainder is the availability
    /// budget.
    pub min_ready: u32,
    /// Whether this is a spare pool, from which other pools may take instances as a last resort.
    #[serde(default)]
    pub spare: bool,
    /// Whether its idle slots may be lent to an overloaded pool of the same organisation.
    #[serde(default)]
    pub lends: bool,
}

/// Whether a request that may already have run may be sent again.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Never sent twice. This is the safe default.
    #[default]
    #[display("once")]
    Once,
    /// Never sent twice; the caller must send an `Idempotency-Key`, which is claimed in the table
    /// service first. If the table service doesn't respond, the request is rejected as not run.
    #[display("keyed")]
    Keyed,
    /// Idempotent: may be sent again.
    #[display("idempotent")]
    Idempotent,
}

/// A service: a route, the pool behind it and the limits on its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The pool whose instances serve it.
    pub pool: String,
    /// Whether requests may be sent again.
    pub repeat: Repeat,
    /// Maximum total duration of a request, in milliseconds.
    pub timeout_ms: u32,
    /// Maximum number of requests that wait for a slot, per entry.
    pub queue: u32,
    /// Number of requests that an upstream processes concurrently.
    pub slots: u32,
    /// Maximum number of connections that an upstream accepts from all entries together.
    pub connections: u32,
    /// Retry budget: retries allowed per hundred requests.
    pub retry_percent: u32,
    /// Maximum size of a request or response body, in bytes.
    pub max_body: u32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            pool: String::new(),
            repeat: Repeat::Once,
            timeout_ms: 10_000,
            queue: 64,
            slots: 8,
            connections: 64,
            retry_percent: 10,
            max_body: 1 << 20,
        }
    }
}

/// An amount of processor time, memory and accelerators.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Add,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema
)]
#[display("{milli_cores}mc/{memory_mb}MB/{accelerators}acc")]
#[serde(deny_unknown_fields, default)]
pub struct Size {
    /// Processor time, in millicores.
    pub milli_cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// A team's quota and its share of unused capacity.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// Resources that it may always use.
    pub quota: Size,
    /// Relative share of the capacity that other teams leave unused.
    pub share: u32,
    /// Whether it may exceed its quota while other teams leave capacity unused.
    pub borrows: bool,
}

/// How urgent a job or request is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Starts within 4.6 s, if necessary by preemption.
    #[display("urgent")]
    Urgent,
    /// The default.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts when there is capacity to spare for it.
    #[display("batch")]
    Batch,
}

/// A kind of job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Job {
    /// The pool whose instances run it.
    pub pool: String,
    /// Declared resource usage.
    pub size: Size,
    /// Declared run time, in seconds.
    pub seconds: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// Whether it may be checkpointed to make room for other jobs.
    pub preemptible: bool,
}

/// What a wave does to each instance.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Drain, stop, reboot, check.
    #[default]
    #[display("reboot")]
    Reboot,
    /// Drain, stop, and wait for a replacement under the same or another name.
    #[display("replace")]
    Replace,
}

/// A maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Wave {
    /// Names of the pools whose instances it covers.
    pub pools: Vec<String>,
    /// The action taken on each instance.
    pub action: Action,
    /// Expected downtime of one instance, in seconds.
    pub restart_secs: u32,
    /// Deadline, in seconds after its start.
    pub deadline_secs: u64,
    /// Whether it starts as soon as its configuration is active. Otherwise an operator starts it.
    pub auto_start: bool,
}
