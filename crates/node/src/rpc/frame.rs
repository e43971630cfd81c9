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
use scheduler::job::MAX_BYTES;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::budget;

/// Maximum size of a reply in bytes: enough for a configuration with thousands of queues.
pub(super) const MAX_REPLY_BYTES: usize = 4 << 20;

/// Maximum size of a call in bytes: a job of the maximum length and names.
pub(super) const MAX_CALL_BYTES: usize = MAX_BYTES + (17 << 10);

/// Size of queued messages from which on they are written without waiting for more, in bytes.
const BATCH_BYTES: usize = 256 << 10;

/// Maximum time of one write; the connection is closed if the peer reads nothing for so long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The codec that delimits messages of at most `bytes` by their length.
pub(super) fn codec(bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(bytes).new_codec()
}

/// Writes messages from `queue` until the queue is closed.
///
/// # Errors
///
/// The stream is broken, or a write took longer than [`WRITE_TIMEOUT`].
pub(super) async fn write<M: Message>(mut stream: Stream, queue: Receiver<M>) -> io::Result<()> {
    let mut codec = codec(MAX_REPLY_BYTES);
    let mut bytes = BytesMut::new();
    while let Ok(message) = queue.recv().await {
        codec.encode(Bytes::from(message.encode_to_vec()), &mut bytes)?;
        while bytes.len() < BATCH_BYTES
            && let Ok(message) = queue.try_recv()
        {
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
