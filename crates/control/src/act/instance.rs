//! Operator actions on instances.

use fleet::instance::State;
use serde::Deserialize;
use serde::Serialize;

/// An instance as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// The address that it listens on.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack.
    pub rack: String,
    /// The organisation of its pool.
    pub organisation: String,
    /// Its pool.
    pub pool: String,
    /// Its state.
    pub state: State,
    /// Its epoch, incremented with each change of its state.
    pub epoch: u64,
    /// Why it is out of service; empty if it is not, or not on purpose.
    pub purpose: String,
    /// What its drain waits for: names of entries that have not acknowledged it, and jobs.
    pub waits_for: Vec<String>,
}

/// An action that has been recorded. Its progress is shown by
/// [`Control::instances`](crate::Control::instances) and [`Control::waves`](crate::Control::waves).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// The operation name under which it is recorded.
    pub operation: String,
    /// Description of the action, one line.
    pub what: String,
}
