//! Decisions about pools and their instances.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::instance::Instance;
use crate::key;

/// A decision about a pool or one of its instances, by the planner, by the observer of facts or by
/// an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Add an instance of the instance list that is unknown or [gone](crate::instance::State::Gone).
    /// The instance is health-checked before it serves. If it is known and not gone, only its
    /// address, capacity and location are updated.
    Enlist(Box<Instance>),
    /// Deliberately take an instance out of service. It receives no new work.
    Drain {
        /// The instance.
        instance: key::Instance,
        /// The reason.
        reason: Reason,
    },
    /// Mark a draining instance as drained: every entry has acknowledged the drain and nothing is in
    /// flight.
    Drained {
        /// The instance.
        instance: key::Instance,
    },
    /// Return an instance to service.
    Return {
        /// The instance.
        instance: key::Instance,
        /// The reason.
        reason: Reason,
    },
    /// Move an instance to another pool. A serving instance is drained first; a drained one is
    /// assigned to the other pool and serves there.
    Move {
        /// The instance.
        instance: key::Instance,
        /// The destination pool.
        to: key::Pool,
        /// The reason.
        reason: Reason,
    },
    /// Park an instance, which a spare pool doesn't need now: a serving instance is drained first; a
    /// drained one is stopped.
    Park {
        /// The instance.
        instance: key::Instance,
    },
    /// Mark an instance as failed.
    Fail {
        /// The instance.
        instance: key::Instance,
    },
    /// Mark an instance as suspected to have failed. It doesn't count as ready but still receives
    /// work, since too many instances appear to have failed at once.
    Suspect {
        /// The instance.
        instance: key::Instance,
    },
    /// Clear the suspicion of an instance that responds again.
    Trust {
        /// The instance.
        instance: key::Instance,
    },
    /// Start the health check of an instance that is up again and must pass it before it serves.
    Check {
        /// The instance.
        instance: key::Instance,
    },
    /// Mark an instance as permanently removed from the instance list.
    Gone {
        /// The instance.
        instance: key::Instance,
    },
    /// Delete the row of an instance that was removed long ago.
    Forget {
        /// The instance.
        instance: key::Instance,
    },
}

/// The reason of a pool decision.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The run of a wave has ended without maintaining the instance.
    #[display("wave")]
    Wave,
    /// An operator requested the decision.
    #[display("operator")]
    Operator,
    /// An instance failed.
    #[display("failure")]
    Failure,
    /// The pool has fewer instances than it should have.
    #[display("short")]
    Short,
    /// The pool has more instances than it should have.
    #[display("surplus")]
    Surplus,
    /// The pool has fewer ready instances than its `min_ready`. Before an instance is moved in for
    /// this reason, instances that are arriving or being health-checked count as ready.
    #[display("rescue")]
    Rescue,
    /// The platform is removing the instance.
    #[display("leaving")]
    Leaving,
    /// The instance has passed its health check, or is on the instance list again.
    #[display("healthy")]
    Healthy,
}
