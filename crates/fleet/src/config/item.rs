//! The items of a [`Config`](super::Config), one plain struct each.

use std::collections::BTreeMap;

use derive_more::Add;
use derive_more::Display;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// One organisation: what it runs and how it weighs costs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// How costs are weighed against each other.
    #[serde(default)]
    pub weights: Weights,
    /// Its data centres, by name.
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

/// Relative weights of the three costs; only their ratio counts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Spare capacity held in reserve.
    pub buffer: f64,
    /// Time that a change or wave takes.
    pub rollout: f64,
    /// Instances and jobs shifted.
    pub moves: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { buffer: 1.0, rollout: 1.0, moves: 1.0 }
    }
}

/// A pool and the availability it promises.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Instances it should hold.
    pub size: u32,
    /// Instances that must be serving at any moment: the availability budget is the rest.
    pub min_ready: u32,
    /// Whether others may take instances from here as a last resort.
    #[serde(default)]
    pub spare: bool,
    /// Whether idle slots may be lent to a bursting pool of the same organisation.
    #[serde(default)]
    pub lends: bool,
}

/// What may be done with a request that might already have run.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Never sent twice. The safe default.
    #[default]
    #[display("once")]
    Once,
    /// Never sent twice; an `Idempotency-Key` is required and claimed in the table service first.
    /// With no answer from the store the request is refused as not run.
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
    /// Longest time a request may take in all, milliseconds.
    pub timeout_ms: u32,
    /// Requests that may wait for a slot, per entry.
    pub queue: u32,
    /// Requests that an upstream works on at once.
    pub slots: u32,
    /// Connections that an upstream accepts from all entries together.
    pub connections: u32,
    /// Retries allowed per hundred requests.
    pub retry_percent: u32,
    /// Largest body in either direction, bytes.
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

/// An amount of processors, memory and accelerators.
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
    /// Thousandths of a core.
    pub milli_cores: u32,
    /// Megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// A team, its quota and its share of what is free.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Team {
    /// What it may always use.
    pub quota: Size,
    /// Relative share of what others leave unused.
    pub share: u32,
    /// Whether it may use more than its quota while others leave it free.
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
    /// Starts within 4.6 s, by preemption where it must.
    #[display("urgent")]
    Urgent,
    /// The usual.
    #[default]
    #[display("normal")]
    Normal,
    /// When there is room.
    #[display("batch")]
    Batch,
}

/// A kind of job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Job {
    /// The pool whose instances run it.
    pub pool: String,
    /// What it is declared to need.
    pub size: Size,
    /// How long it is declared to run, seconds.
    pub seconds: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it may be checkpointed to make room.
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
    /// Drain, stop, and wait for a replacement of the same name or another.
    #[display("replace")]
    Replace,
}

/// A maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Wave {
    /// Pools it covers, all their instances.
    pub pools: Vec<String>,
    /// What is done to each instance.
    pub action: Action,
    /// How long one instance is expected to be out, seconds.
    pub restart_secs: u32,
    /// When it should be done, seconds after its start.
    pub deadline_secs: u64,
    /// Whether it is started as soon as it is in force, or by an operator.
    pub auto_start: bool,
}
