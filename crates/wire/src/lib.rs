//! Frames between our own processes: prost messages, a keyed MAC, bounded decoding.
//!
//! * [`generated`]: the messages, as made from `wire.proto`.

pub mod generated;

pub use generated::Frame;
