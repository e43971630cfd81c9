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
//! * [`Closures`]: what this entry acknowledges.
//! * [`Notice`]: drains that this entry has heard of from peers alone.
//! * [`Census`]: which entries could still send, and what they have acknowledged.
//! * [`Fence`]: what the instance itself says.

mod census;
mod closure;
mod notice;

pub use census::Census;
pub use census::Evidence;
pub use census::Fence;
pub use census::Verdict;
pub use closure::Closures;
pub use notice::Notice;
