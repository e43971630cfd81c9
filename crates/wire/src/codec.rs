//! Cuts a TCP stream into frames.

use tokio_util::codec::LengthDelimitedCodec;

use crate::STREAM_BYTES;

/// Four bytes of length before each sealed frame, which is at most [`STREAM_BYTES`].
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(STREAM_BYTES).new_codec()
}
