//! What a control loop is told at its start.

use std::time::Duration;
use std::time::Instant;

use sha2::Digest;
use sha2::Sha256;

use crate::clock;

/// Settings of one entry's control loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this entry, as on the instance list.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Rises with each start of a process of this name; the one given to the peers.
    pub incarnation: u64,
    /// The moment that the process's time counts from; the same as for the peers.
    pub origin: Instant,
    /// Time between two ticks of an entry that holds duties.
    pub tick: Duration,
    /// Longest wait at start for the store or for peers before callers are served from what is
    /// known by then.
    pub start_limit: Duration,
    /// How far behind the truth the instance list may be.
    pub list_lag: Duration,
}

impl Settings {
    /// A number for this process's clock that no other process has.
    pub fn clock_id(&self) -> u64 {
        let digest = Sha256::digest(format!("{}\n{}", self.name, self.incarnation));
        digest.iter().take(8).fold(0, |number, &byte| number << 8 | u64::from(byte)).max(1)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            data_centre: String::new(),
            incarnation: 1,
            origin: clock::instant(),
            tick: Duration::from_millis(200),
            start_limit: Duration::from_secs(10),
            list_lag: Duration::from_secs(30),
        }
    }
}
