//! Duties: what exactly one entry at a time does for the whole site.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Where the rows of [`Row`] start.
pub const PREFIX: &str = "duty/";

/// A duty. Its display is the end of its row's key.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Placement, budget and moves of one pool.
    #[display("pool/{organisation}/{pool}")]
    Pool {
        /// Name of the organisation.
        organisation: String,
        /// Name of the pool.
        pool: String,
    },
    /// The steps of one maintenance wave.
    #[display("wave/{organisation}/{wave}")]
    Wave {
        /// Name of the organisation.
        organisation: String,
        /// Name of the wave.
        wave: String,
    },
    /// Writing snapshots.
    #[display("snapshots")]
    Snapshots,
    /// Removing rows that are over and done with.
    #[display("garbage")]
    Garbage,
}

impl Duty {
    /// The key of its row.
    pub fn key(&self) -> String {
        format!("{PREFIX}{self}")
    }

    /// The duty whose row has this key.
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

/// Value of a duty's row. It is written only when the duty changes hands.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// Name of the entry that holds it; empty if it was given up.
    pub holder: String,
    /// Which process of that name.
    pub incarnation: u64,
    /// Rises with each change of hands.
    pub epoch: u64,
}
