//! Messages of `GET health` and `POST drain`.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::Moment;

/// Whether an instance accepts new service requests and attempts.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Serving {
    /// Accepts new work.
    #[default]
    #[display("open")]
    Open,
    /// Refuses new work with status 503 and the header `knapweedsail-outcome: not-run`. Work that
    /// it already has continues.
    #[display("draining")]
    Draining,
}

/// Response body of `GET health`, `POST drain` and `POST lease`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Highest epoch that the instance has received, 0 after a restart.
    pub epoch: u64,
    /// Whether the instance accepts new work.
    pub serving: Serving,
    /// The instance's clock at the time of the response.
    pub now: Moment,
    /// Number of service requests in flight.
    #[serde(default)]
    pub in_flight: u32,
}

/// Body of `POST drain`: starts or ends draining.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Epoch of the instance in the sender's table.
    pub epoch: u64,
    /// `true` to start draining, `false` to accept new work again.
    pub draining: bool,
}
