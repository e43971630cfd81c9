//! Membership between entries, and the spreading of what they share.
//!
//! * [`Summary`]: what an entry tells its peers about itself.
//! * [`Member`]: what is known about a peer.

mod member;
mod summary;

pub use member::Member;
pub use member::Status;
pub use summary::Summary;
