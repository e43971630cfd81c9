//! One screen for someone who has not looked for a week.

use fleet::config::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::act;

/// What is promised, what is at risk, what is going on and what waits for a person.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry that answers.
    pub entry: String,
    /// The revision in force there.
    pub revision: Revision,
    /// Whether the platform answers it. If not, all below is as last known.
    #[serde(rename = "platform")]
    pub platform_reachable: bool,
    /// For how long the platform has not answered, seconds.
    pub outage_secs: u64,
    /// What is promised, and how it stands.
    pub pools: Vec<Pool>,
    /// Drains, moves and waves under way.
    #[serde(rename = "going_on")]
    pub activities: Vec<Activity>,
    /// What will not go on unless a person acts.
    #[serde(rename = "waiting")]
    pub alerts: Vec<Alert>,
    /// Waves.
    pub waves: Vec<act::Wave>,
    /// Duties and who holds them.
    pub duties: Vec<Duty>,
    /// Entries.
    pub entries: Vec<Entry>,
}

/// A pool's promise and how it stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The organisation that has it.
    pub organisation: String,
    /// Its name.
    pub name: String,
    /// Instances it should hold.
    pub size: u32,
    /// Instances that must be serving.
    pub min_ready: u32,
    /// Instances that are serving.
    pub serving: u32,
    /// Instances that are out on purpose.
    pub out: u32,
    /// Instances that have failed.
    pub failed: u32,
    /// What puts the promise at risk, one a line.
    pub risks: Vec<String>,
}

/// Something under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Activity {
    /// What, in a line.
    pub what: String,
    /// What it waits for, in a line; empty if for nothing.
    pub waits_for: String,
}

/// Something that waits for a person.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alert {
    /// What is wrong.
    pub what: String,
    /// What can be done about it.
    pub remedy: String,
}

/// A duty and who holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// The entry that holds it; empty if none does.
    pub holder: String,
    /// How often it has changed hands.
    pub epoch: u64,
}

/// An entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is heard of.
    #[serde(rename = "heard")]
    pub reachable: bool,
    /// The revision in force there, as far as known.
    pub revision: Revision,
}
