//! Frames between our own processes: prost messages, a keyed MAC, bounded decoding.
//!
//! * [`generated`]: the messages, as made from `wire.proto`.
//! * [`Key`]: what frames are signed with.
//! * [`seal`], [`open`]: between a [`Frame`] and the bytes that carry it.
//! * [`Window`]: refuses frames that came before.
//! * [`Refusal`]: why a frame is not taken.
//! * [`codec`]: cuts a TCP stream into frames.

mod codec;
mod content;
mod key;
mod refusal;
mod seal;
mod window;

pub mod generated;

pub use codec::codec;
pub use generated::Frame;
pub use key::Key;
pub use refusal::Refusal;
pub use seal::open;
pub use seal::seal;
pub use window::Window;

/// Version of the protocol that this code speaks.
pub const VERSION: u32 = 1;
/// Oldest version whose frames this code takes.
pub const MIN_VERSION: u32 = 1;
/// Most bytes of a datagram: what passes through any network in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Most bytes of a configuration's documents.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;
/// Most bytes of a frame on a TCP stream.
pub const MAX_STREAM_FRAME_BYTES: usize = MAX_DOCUMENT_BYTES + 1_024;
/// Most bytes of any name in a frame.
pub const MAX_NAME_BYTES: usize = 128;
