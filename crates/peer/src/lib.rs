//! Membership between entries, and the spreading of what they share.
//!
//! * [`Peer`]: a running peer.
//! * [`Counters`]: what it sent, heard and refused.
//! * [`Spread`]: what the control loop asks of it.
//! * [`Summary`]: what an entry tells its peers about itself.
//! * [`membership`]: the gossip itself, with no sockets and no clock.
//! * [`Member`]: what is known about a peer.

mod clock;
mod counters;
mod error;
mod member;
mod peer;
mod settings;
mod spread;
mod summary;

pub mod membership;

pub use counters::Counters;
pub use error::Error;
pub use member::Member;
pub use member::Status;
pub use peer::CaughtUp;
pub use peer::Peer;
pub use settings::Settings;
pub use spread::Document;
pub use spread::Spread;
pub use summary::Summary;
