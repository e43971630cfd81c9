//! When an instance may be stopped without cutting off a request.
//!
//! A planned stop has two conditions. Each one, once it holds for an epoch of the instance, holds
//! for the rest of that epoch:
//!
//! 1. Every entry that may still send requests has acknowledged the epoch: the entry routes each
//!    new request by a view in which the instance is not open, and none of its requests is in
//!    flight at the instance. This covers every entry that the table, the instance list or a peer
//!    knows of, whether it is reachable or not.
//! 2. The instance itself, if it answers, has been told to drain and has no requests left.
//!
//! An entry is exempt from the first condition only if its process has certainly ended. A network
//! partition therefore suspends planned stops, but never serving.
//!
//! * [`Exclusions`]: the drains that this entry acknowledges.
//! * [`PeerDrains`]: drains that this entry knows from peers, but not yet from the table.
//! * [`Senders`]: the entries that may still send, and what they have acknowledged.
//! * [`Intake`]: whether the instance itself accepts new work.

mod exclusion;
mod peer_drains;
mod senders;

pub use exclusion::Exclusions;
pub use peer_drains::PeerDrains;
pub use senders::Intake;
pub use senders::Readiness;
pub use senders::SenderReport;
pub use senders::Senders;
