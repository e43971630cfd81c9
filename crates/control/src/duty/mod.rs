//! Duties: units of control work, each held by one entry at a time by means of a lease.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Key prefix of the rows that hold a [`Row`].
pub const PREFIX: &str = "duty/";

/// A unit of control work that one entry at a time does for the whole site. Its `Display` is the
/// row's key without [`PREFIX`].
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Job placement, disruption budget and instance moves of one pool.
    #[display("pool/{organisation}/{pool}")]
    Pool {
        /// Name of the organisation.
        organisation: String,
        /// Name of the pool.
        pool: String,
    },
    /// Progress of one maintenance wave.
    #[display("wave/{organisation}/{wave}")]
    Wave {
        /// Name of the organisation.
        organisation: String,
        /// Name of the wave.
        wave: String,
    },
    /// Writing snapshots of the table.
    #[display("snapshots")]
    Snapshots,
    /// Garbage collection: removing obsolete rows.
    #[display("garbage")]
    Garbage,
}

impl Duty {
    /// The key of the duty's row.
    pub fn key(&self) -> String {
        format!("{PREFIX}{self}")
    }

    /// The duty whose row has the key `key`; `None` if it is not a duty's row.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(PREFIX)?.split('/');
        let duty = match (parts.next()?, parts.next(), parts.next()) {
            ("pool", Some(organisation), Some(pool)) => {
                Self::Pool { organisation: organisation.to_owned(), pool: pool.to_owned() }
            }
            ("wave", Some(organisation), Some(wave)) => {
                Self::Wave { organisation: organisation.to_owned(), wave: wave.to_owned() }
            }
            ("snapshots", None, None) => Self::Snapshots,
            ("garbage", None, None) => Self::Garbage,
            _ => return None,
        };
        parts.next().is_none().then_some(duty)
    }
}

/// Value of a duty's row. It is written only when the holder changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// Name of the entry that holds the duty; empty if the last holder released it.
    pub holder: String,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Fencing token: increases with each change of the holder.
    pub epoch: u64,
}
