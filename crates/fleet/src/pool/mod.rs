//! Pools: the availability budget, replacement, moves between pools and lending of slots.

use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::key;

/// A pool and what of its promise is spent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Its name, within its organisation.
    pub name: String,
    /// Whose it is.
    pub organisation: key::Organisation,
    /// What is promised.
    pub spec: config::Pool,
}

/// What the pool systems want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Take an instance out of service on purpose; nothing new is sent to it.
    Drain {
        /// Which instance.
        instance: key::Instance,
        /// Why.
        reason: Reason,
    },
    /// Put an instance back to serving.
    Return {
        /// Which instance.
        instance: key::Instance,
        /// Why.
        reason: Reason,
    },
    /// Hand a drained instance to another pool.
    Move {
        /// Which instance.
        instance: key::Instance,
        /// The pool that gets it.
        to: key::Pool,
        /// Why.
        reason: Reason,
    },
}

/// Why a pool decision was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
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
}
