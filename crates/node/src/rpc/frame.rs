//! Cuts a stream into messages, and sends many messages with one write.

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

/// Bytes of a message, at most: a configuration with thousands of queues.
const MAX_BYTES: usize = 4 << 20;

/// Longest time that a write may take: a peer that reads nothing for so long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How messages are cut.
pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_BYTES).new_codec()
}

/// Writes messages from `queue` until it closes or the peer does.
pub(super) async fn write<M: Message>(mut stream: Stream, queue: Receiver<M>) -> io::Result<()> {
    let mut codec = codec();
    let mut bytes = BytesMut::new();
    while let Ok(message) = queue.recv().await {
        codec.encode(Bytes::from(message.encode_to_vec()), &mut bytes)?;
        while let Ok(message) = queue.try_recv() {
            codec.encode(Bytes::from(message.encode_to_vec()), &mut bytes)?;
        }
        let late = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        stream.write_all(&bytes).or(late).await?;
        bytes.clear();
    }
    Ok(())
}
