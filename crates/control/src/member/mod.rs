//! Rows of entries: the heartbeat, and what an entry has acknowledged.

use std::collections::BTreeMap;

use fleet::config::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Where the rows of [`Row`] start.
pub const PREFIX: &str = "member/";

/// The key of the row of the entry of this name.
pub fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// The name of the entry whose row has this key.
pub fn parse(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX).filter(|name| !name.is_empty() && !name.contains('/'))
}

/// Value of an entry's row. Writing it again, changed or not, is the entry's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// Rises with each start of a process of this name.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it beats and takes duties.
    #[serde(rename = "wants")]
    pub candidate: bool,
    /// Whether its process said that it will send nothing more.
    pub ended: bool,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// Drains that it has acknowledged, by instance name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub drains: BTreeMap<String, Ack>,
}

/// An entry's word that its new requests are not sent to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ack {
    /// The instance's epoch that it acts on.
    pub epoch: u64,
    /// Requests that it still has in flight there.
    pub in_flight: u32,
}
