//! Health and draining.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::Moment;

/// Whether an instance takes new service requests and attempts.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Serving {
    /// It takes new work.
    #[default]
    #[display("open")]
    Open,
    /// It refuses new work with 503 and `knapweedsail-outcome: not-run`; what it has goes on.
    #[display("draining")]
    Draining,
}

/// Answer to `GET health` and to `POST drain`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The highest epoch that the instance has been told; 0 after a start.
    pub epoch: u64,
    /// Whether it takes new work.
    pub serving: Serving,
    /// The instance's own time.
    pub now: Moment,
    /// Service requests it works on.
    #[serde(default)]
    pub in_flight: u32,
}

/// Body of `POST drain`: stop taking new work, or take it again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Epoch of the instance in the sender's table.
    pub epoch: u64,
    /// Whether to drain, or to end draining.
    pub draining: bool,
}
