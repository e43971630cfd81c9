//! Length-delimited framing of messages on a stream. Queued messages are sent with one write.

use std::io;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http::Stream;
use prost::Message;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::budget;

/// Maximum size of a message in bytes: enough for a configuration with thousands of queues.
const MAX_BYTES: usize = 4 << 20;

/// Maximum time of one write; the connection is closed if the peer reads nothing for so long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The codec that delimits messages by their length.
pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_BYTES).new_codec()
}

/// Writes messages from `queue` until the queue is closed.
///
/// # Errors
///
/// The stream is broken, or a write took longer than [`WRITE_TIMEOUT`].
pub(super) async fn write<M: Message>(mut stream: Stream, queue: Receiver<M>) -> io::Result<()> {
    let mut codec = codec();
    let mut bytes = BytesMut::new();
    while let Ok(message) = queue.recv().await {
        codec.encode(Bytes::from(message.encode_to_vec()), &mut bytes)?;
        while let Ok(message) = queue.try_recv() {
            codec.encode(Bytes::from(message.encode_to_vec()), &mut bytes)?;
        }
        let timeout = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        budget::record_sent(bytes.len());
        stream.write_all(&bytes).or(timeout).await?;
        bytes.clear();
    }
    Ok(())
}
