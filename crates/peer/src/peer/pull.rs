//! Documents from peers that serve a higher revision.
//!
//! Each pull is a connection of its own with one deadline over all of it, so that one that goes
//! silent costs that deadline and no more; the next one dials afresh, and may ask another peer.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Async;
use async_io::Timer;
use bytes::Bytes;
use bytes::BytesMut;
use fleet::config::Revision;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use sha2::Digest;
use sha2::Sha256;
use tokio_util::codec::Encoder;
use tokio_util::codec::FramedRead;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use wire::Frame;
use wire::MAX_STREAM_FRAME_BYTES;
use wire::Refusal;
use wire::generated::Document;
use wire::generated::Pull;
use wire::generated::frame::Content;

use crate::Error;
use crate::clock;
use crate::membership::Source;

use super::Shared;
use super::short;

/// Longest time for one pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a pull that failed.
const PULL_PAUSE: Duration = Duration::from_millis(60);
/// Longest time after which the puller looks by itself.
const PULL_LOOK: Duration = Duration::from_secs(1);

/// Pulls whenever a peer serves a higher revision.
pub(super) async fn run(shared: Arc<Shared>, news: Receiver<()>) {
    loop {
        let look = async {
            Timer::after(PULL_LOOK).await;
        };
        let told = async {
            let _ = news.recv().await;
        };
        told.or(look).await;
        while let Some(source) = shared.source() {
            if let Err(error) = pull(&shared, source).await {
                shared.lock().counters.pull_failures += 1;
                tracing::debug!(event = "pull-failed", peer = %source.address, reason = %error);
                Timer::after(PULL_PAUSE).await;
            }
        }
    }
}

impl Shared {
    fn source(&self) -> Option<Source> {
        let mut state = self.lock();
        let now = clock::now(state.origin);
        state.membership.source(now)
    }
}

async fn pull(shared: &Shared, source: Source) -> Result<(), Error> {
    let late = async {
        Timer::after(PULL_TIMEOUT).await;
        Err(Error::Timeout)
    };
    let document = ask(shared, source).or(late).await?;
    check(&document, source)?;
    let revision = Revision(document.revision);
    let documents = Arc::from(document.documents);
    shared.lock().counters.pulls += 1;
    if shared.raise(revision, &documents) {
        tracing::info!(event = "revision-pulled", %revision, peer = %source.address);
        let _ = shared.adopting.try_send((revision, documents));
    }
    Ok(())
}

async fn ask(shared: &Shared, source: Source) -> Result<Document, Error> {
    let (question, sequence) = {
        let mut state = shared.lock();
        let above = state.offered.as_ref().map_or(0, |served| served.revision.0);
        let content = Content::Pull(Pull { above });
        let frame = state.membership.frame(source.incarnation, content);
        (wire::seal(&frame, &state.keys[0]), frame.sequence)
    };
    let stream = Async::<TcpStream>::connect(source.address).await?;
    write(&stream, &question).await?;
    let answer = read(&stream, MAX_STREAM_FRAME_BYTES).await?;
    let mut state = shared.lock();
    state.counters.bytes_sent += question.len() as u64;
    state.counters.bytes_received += answer.len() as u64;
    let frame = wire::open(&answer, MAX_STREAM_FRAME_BYTES, &state.keys)?;
    state.membership.check_stream(&frame)?;
    drop(state);
    take(frame, source, sequence)
}

/// The document, if the frame is the answer to this pull.
fn take(frame: Frame, source: Source, sequence: u64) -> Result<Document, Error> {
    if frame.incarnation != source.incarnation {
        return Err(Error::Refused(Refusal::PastLife));
    }
    match frame.content {
        Some(Content::Document(document)) if document.answers == sequence => Ok(document),
        Some(Content::Busy(_)) => Err(Error::Busy),
        _ => Err(Error::Refused(Refusal::OutOfBounds)),
    }
}

/// Whether the documents are whole, and those that were offered; a peer may have gone on meanwhile.
fn check(document: &Document, source: Source) -> Result<(), Error> {
    let digest: [u8; 32] = Sha256::digest(document.documents.as_bytes()).into();
    let whole = document.digest == digest;
    let offered = Revision(document.revision) != source.offered.revision
        || short(&digest) == source.offered.digest;
    let enough = Revision(document.revision) >= source.offered.revision;
    if whole && offered && enough { Ok(()) } else { Err(Error::Digest) }
}

/// Reads one frame of at most `limit` bytes.
pub(super) async fn read(stream: &Async<TcpStream>, limit: usize) -> Result<BytesMut, Error> {
    let mut codec = wire::codec();
    codec.set_max_frame_length(limit);
    let mut frames = FramedRead::new(stream.compat(), codec);
    let frame = frames.next().await.transpose()?;
    frame.ok_or_else(|| Error::Io(io::ErrorKind::UnexpectedEof.into()))
}

/// Writes one frame.
pub(super) async fn write(stream: &Async<TcpStream>, frame: &[u8]) -> Result<(), Error> {
    let mut bytes = BytesMut::new();
    wire::codec().encode(Bytes::copy_from_slice(frame), &mut bytes)?;
    let mut stream = stream;
    stream.write_all(&bytes).await?;
    Ok(())
}
