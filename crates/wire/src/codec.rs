//! Cuts a TCP stream into frames.

use tokio_util::codec::LengthDelimitedCodec;

use crate::MAX_STREAM_FRAME_BYTES;

/// Four bytes of length before each sealed frame, which is at most [`MAX_STREAM_FRAME_BYTES`].
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_STREAM_FRAME_BYTES).new_codec()
}
