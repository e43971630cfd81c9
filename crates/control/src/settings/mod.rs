//! Settings of a control loop.

use std::time::Duration;
use std::time::Instant;

use sha2::Digest;
use sha2::Sha256;

use crate::clock;

/// Settings of one entry's control loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this entry, as in the instance list.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Number of this process; increases with each start of a process of this name. The peer
    /// protocol uses the same number.
    pub incarnation: u64,
    /// Origin of the process's monotonic time. The peer protocol uses the same origin.
    pub origin: Instant,
    /// Interval between two ticks of an entry that may hold duties.
    pub tick: Duration,
    /// Maximum time that a starting process waits for the store or for peers before it serves
    /// callers with the configuration it has.
    pub start_limit: Duration,
    /// Maximum age of the data in the instance list.
    pub list_lag: Duration,
}

impl Settings {
    /// Identifies this process's clock; unique to the process.
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
