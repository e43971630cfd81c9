//! Frames between entries: prost messages with a MAC, decoded within fixed size limits.
//!
//! * [`generated`]: the messages, generated from `wire.proto`.
//! * [`Key`]: a secret for signing frames.
//! * [`seal`], [`open`]: encode and sign a [`Frame`], verify and decode it.
//! * [`Window`]: detects replayed frames.
//! * [`Refusal`]: why a frame is rejected.
//! * [`codec`]: splits a TCP stream into frames.

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

/// Version of the protocol that this code implements.
pub const VERSION: u32 = 1;
/// Oldest version of the protocol whose frames are accepted.
pub const MIN_VERSION: u32 = 1;
/// Maximum size of a datagram, bytes. Small enough to avoid IP fragmentation on any network.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum size of a configuration's documents, bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;
/// Maximum size of a frame on a TCP stream, bytes: the documents and the fields around them.
pub const MAX_STREAM_FRAME_BYTES: usize = MAX_DOCUMENT_BYTES + 1_024;
/// Maximum length of any name in a frame, bytes.
pub const MAX_NAME_BYTES: usize = 128;
