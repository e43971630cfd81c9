//! Framing of sealed frames on a TCP stream.

use tokio_util::codec::LengthDelimitedCodec;

use crate::MAX_STREAM_FRAME_BYTES;

/// Codec that puts a four-byte length before each sealed frame.
///
/// Frames over [`MAX_STREAM_FRAME_BYTES`] are errors.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_STREAM_FRAME_BYTES).new_codec()
}
