//! When an instance may be stopped without cutting off a request.
//!
//! A planned stop waits for three things, each of which holds for good once it holds for an epoch
//! of the instance:
//!
//! 1. Every entry that could still send has acknowledged the epoch: each new request of its goes by
//!    a view in which the instance is not open, and none of its requests is in flight there.
//!    Entries count that the table, the instance list or the peers know of, in reach or not.
//! 2. The instance itself, if it answers, has been told to drain and works on nothing.
//! 3. An entry may be left out of the first only when its process is certainly gone.
//!
//! A partition therefore suspends planned stops, and never serving.
//!
//! * [`Exclusions`]: what this entry acknowledges.
//! * [`PeerDrains`]: drains that this entry has heard of from peers alone.
//! * [`Senders`]: which entries could still send, and what they have acknowledged.
//! * [`Intake`]: what the instance itself says.

mod exclusion;
mod peer_drains;
mod senders;

pub use exclusion::Exclusions;
pub use peer_drains::PeerDrains;
pub use senders::Intake;
pub use senders::Readiness;
pub use senders::SenderReport;
pub use senders::Senders;
