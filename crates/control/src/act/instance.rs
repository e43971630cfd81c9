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
    /// What it is out of service for; empty if for nothing.
    pub purpose: String,
    /// Entries whose acknowledgement of its drain is waited for, by name.
    pub waits_for: Vec<String>,
}

/// An act that is recorded for certain. What follows from it shows in
/// [`Control::instances`](crate::Control::instances) and [`Control::waves`](crate::Control::waves).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// The operation that recorded it.
    pub operation: String,
    /// What was ordered, in a line.
    pub what: String,
}
