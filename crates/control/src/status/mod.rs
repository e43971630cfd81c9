//! The status overview for operators: one screen that is understood without knowing earlier events.

use fleet::config::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::act;

/// Service guarantees and their risks, operations in progress, and alerts that need an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry that made this overview.
    pub entry: String,
    /// The configuration revision in force in that entry.
    pub revision: Revision,
    /// Whether the entry can read the platform's table. If not, the fields below show the last
    /// known state.
    #[serde(rename = "platform")]
    pub platform_reachable: bool,
    /// How long the platform has been unreachable, seconds; 0 if it is reachable.
    pub outage_secs: u64,
    /// All pools, with their guarantees.
    pub pools: Vec<Pool>,
    /// Drains, moves and maintenance of instances in progress.
    #[serde(rename = "going_on")]
    pub activities: Vec<Activity>,
    /// Problems that will not be solved unless an operator acts.
    #[serde(rename = "waiting")]
    pub alerts: Vec<Alert>,
    /// All maintenance waves.
    pub waves: Vec<act::Wave>,
    /// All duties and their holders.
    pub duties: Vec<Duty>,
    /// All entries that may still send requests.
    pub entries: Vec<Entry>,
}

/// A pool's guaranteed and present capacity.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The organisation that owns the pool.
    pub organisation: String,
    /// Its name.
    pub name: String,
    /// Configured number of instances.
    pub size: u32,
    /// Minimum number of instances that must be serving.
    pub min_ready: u32,
    /// Instances that are serving.
    pub serving: u32,
    /// Instances that are deliberately out of service.
    pub out: u32,
    /// Instances that have failed.
    pub failed: u32,
    /// Risks to `min_ready`, one per item.
    pub risks: Vec<String>,
}

/// An operation in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Activity {
    /// One-line description of the operation.
    pub what: String,
    /// What the operation is waiting for, in one line; empty if for nothing.
    pub waits_for: String,
}

/// A problem that needs an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alert {
    /// Description of the problem.
    pub what: String,
    /// What the operator can do about it.
    pub remedy: String,
}

/// A duty and its holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// Name of the entry that holds it; empty if none does.
    pub holder: String,
    /// Fencing token: increases with each change of the holder.
    pub epoch: u64,
}

/// An entry as this entry sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is alive according to peers or to its heartbeat row.
    #[serde(rename = "heard")]
    pub reachable: bool,
    /// The latest configuration revision it is known to have in force.
    pub revision: Revision,
}
