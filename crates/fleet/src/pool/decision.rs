//! What the pool systems, or an operator, want done.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::instance::Instance;
use crate::key;

/// What the pool systems, or an operator, want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Take in an instance that the list has and the tables do not, or that came back under its
    /// old name. It starts out being checked.
    Enlist(Box<Instance>),
    /// Take an instance out of service on purpose; nothing new is sent to it.
    Drain {
        /// Which instance.
        instance: key::Instance,
        /// Why.
        reason: Reason,
    },
    /// Every entry has acknowledged the drain and nothing is in flight.
    Drained {
        /// Which instance.
        instance: key::Instance,
    },
    /// Put an instance back to serving.
    Return {
        /// Which instance.
        instance: key::Instance,
        /// Why.
        reason: Reason,
    },
    /// Hand an instance to another pool: a serving one is drained for it first, a drained one
    /// changes hands.
    Move {
        /// Which instance.
        instance: key::Instance,
        /// The pool that gets it.
        to: key::Pool,
        /// Why.
        reason: Reason,
    },
    /// Hold an instance of a spare pool for no one: a serving one is drained for it first.
    Park {
        /// Which instance.
        instance: key::Instance,
    },
    /// Count an instance as failed.
    Fail {
        /// Which instance.
        instance: key::Instance,
    },
    /// Count an instance as not ready, but go on sending to it: too many look failed at once.
    Suspect {
        /// Which instance.
        instance: key::Instance,
    },
    /// A suspect answers after all.
    Trust {
        /// Which instance.
        instance: key::Instance,
    },
    /// Check an instance that is up again before it serves.
    Check {
        /// Which instance.
        instance: key::Instance,
    },
    /// An instance is gone from the list for good.
    Gone {
        /// Which instance.
        instance: key::Instance,
    },
    /// Drop the row of an instance that has long been gone.
    Forget {
        /// Which instance.
        instance: key::Instance,
    },
}

/// Why a pool decision was taken.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A wave asked for it.
    #[display("wave")]
    Wave,
    /// An operator asked for it.
    #[display("operator")]
    Operator,
    /// An instance failed.
    #[display("failure")]
    Failure,
    /// The pool holds too few instances.
    #[display("short")]
    Short,
    /// The pool holds more than it needs.
    #[display("surplus")]
    Surplus,
    /// The pool's promise is broken or about to be.
    #[display("rescue")]
    Rescue,
    /// The platform is taking it away.
    #[display("leaving")]
    Leaving,
    /// It answers again and passed its check.
    #[display("healthy")]
    Healthy,
}
