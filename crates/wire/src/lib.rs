//! Frames between our own processes: prost messages, a keyed MAC, bounded decoding.
//!
//! * [`generated`]: the messages, as made from `wire.proto`.
//! * [`Key`]: what frames are signed with.

mod key;

pub mod generated;

pub use generated::Frame;
pub use key::Key;
