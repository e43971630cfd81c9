//! Acts on instances.

use fleet::instance::State;
use serde::Deserialize;
use serde::Serialize;

/// An instance, as an operator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack.
    pub rack: String,
    /// The organisation of its pool.
    pub organisation: String,
    /// The pool that has it.
    pub pool: String,
    /// Its state.
    pub state: State,
    /// Its epoch.
    pub epoch: u64,
    /// Entries whose acknowledgement of its drain is waited for, by name.
    pub waits_for: Vec<String>,
}

/// A wish that has been recorded and will be carried out as the pool's budget allows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// The operation that recorded it.
    pub operation: String,
    /// What will be done, in a line.
    pub what: String,
    /// What it waits for at present, in a line; empty if for nothing.
    pub waits_for: String,
}
