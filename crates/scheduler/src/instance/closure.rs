//! Why an instance takes no new tasks.

/// Why an instance takes no new tasks, whatever they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Closure {
    /// The instance list does not contain it.
    #[display("unlisted")]
    Unlisted,
    /// It drains.
    #[display("draining")]
    Draining,
    /// Its runs have not been read since it last changed hands or restarted.
    #[display("unsynced")]
    Unsynced,
    /// A start command got no answer, and its outcome is not known yet.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// Its machine is about to be moved or maintained.
    #[display("reserved")]
    Reserved,
    /// It has not answered its last call.
    #[display("unresponsive")]
    Unresponsive,
    /// The store holds the expiry of its leases, so that none can be renewed.
    #[display("lease-expiry")]
    LeaseExpiry,
    /// It has no admission check, and the instance list is too old to tell its capacity.
    #[display("outdated")]
    Outdated,
    /// It refused a start for want of room moments ago.
    #[display("full")]
    Full,
    /// It is suspended after failed runs.
    #[display("suspended")]
    Suspended,
    /// It is on probation, and already has a task that ends.
    #[display("probation")]
    Probation,
}
