//! Table rows of entries: heartbeats and acknowledged drains.

use std::collections::BTreeMap;

use fleet::config::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Key prefix of the rows that hold a [`Row`].
pub const PREFIX: &str = "member/";

/// The row key of the entry `name`.
pub fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}

/// The name of the entry whose row has the key `key`; `None` if it is not an entry's row.
pub fn parse(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX).filter(|name| !name.is_empty() && !name.contains('/'))
}

/// Value of an entry's row. Each write of the row, whether it changes the value or not, is a
/// heartbeat of the entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// Number of the entry's process; increases with each start of a process of this name.
    pub incarnation: u64,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Whether the entry sends heartbeats and takes duties.
    #[serde(rename = "wants")]
    pub candidate: bool,
    /// Whether the process has announced that it will send no more requests.
    pub ended: bool,
    /// The configuration revision in force in the entry.
    pub revision: Revision,
    /// Drains that the entry has acknowledged, by instance name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub drains: BTreeMap<String, Ack>,
}

/// An entry's acknowledgement of a drain: it sends no new requests to the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ack {
    /// The epoch of the instance that the acknowledgement is for.
    pub epoch: u64,
    /// Requests from this entry that are still in flight at the instance.
    pub in_flight: u32,
}
