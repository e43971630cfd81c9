//! Documents to peers that ask for them.

use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt;
use wire::Frame;
use wire::MAX_DATAGRAM_BYTES;
use wire::Refusal;
use wire::generated::Busy;
use wire::generated::Document;
use wire::generated::frame::Content;

use super::Shared;
use super::pull;

/// Pulls that are answered at once.
const SERVES_MAX: usize = 8;
/// Connections that are open at once, the busy ones included.
const CONNECTIONS_MAX: usize = 32;
/// Longest time for one connection, so that a silent one does not keep its place.
const SERVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers one pull on each connection.
pub(super) async fn run(
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    // Held here, so that they end with this task.
    let mut tasks = Vec::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        tasks.retain(|task: &async_executor::Task<()>| !task.is_finished());
        if tasks.len() >= CONNECTIONS_MAX {
            continue;
        }
        let (shared, open) = (Arc::clone(&shared), Arc::clone(&open));
        tasks.push(executor.spawn(async move {
            let place = Place::take(&open);
            let late = async {
                Timer::after(SERVE_TIMEOUT).await;
            };
            serve(&shared, stream, place.number > SERVES_MAX).or(late).await;
        }));
    }
}

/// One of the connections that are open at once.
struct Place {
    open: Arc<AtomicUsize>,
    number: usize,
}

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        Self { open: Arc::clone(open), number: open.fetch_add(1, Relaxed) + 1 }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Relaxed);
    }
}

async fn serve(shared: &Shared, stream: Async<TcpStream>, busy: bool) {
    let Ok(bytes) = pull::read(&stream, MAX_DATAGRAM_BYTES).await else { return };
    let Some(answer) = shared.answer(&bytes, busy) else { return };
    let _ = pull::write(&stream, &answer).await;
}

impl Shared {
    /// The sealed answer to a sealed pull; nothing if that is refused.
    fn answer(&self, bytes: &[u8], busy: bool) -> Option<Vec<u8>> {
        let mut state = self.lock();
        state.counters.bytes_received += bytes.len() as u64;
        let opened = wire::open(bytes, MAX_DATAGRAM_BYTES, &state.keys);
        let checked = opened.and_then(|frame| {
            state.membership.check_stream(&frame)?;
            above(&frame).map(|above| (frame, above))
        });
        let (frame, above) = match checked {
            Ok(checked) => checked,
            Err(refusal) => {
                state.counters.refuse(refusal);
                return None;
            }
        };
        let content = if busy {
            state.counters.busy += 1;
            Content::Busy(Busy {})
        } else {
            let served = state.offered.clone().filter(|served| served.revision.0 > above);
            state.counters.serves += u64::from(served.is_some());
            let served =
                served.unwrap_or_else(|| super::Served::new(Default::default(), "".into()));
            Content::Document(Document {
                revision: served.revision.0,
                digest: served.digest.to_vec(),
                documents: served.documents.as_ref().to_owned(),
                answers: frame.sequence,
            })
        };
        let answer = state.membership.frame(frame.incarnation, content);
        let sealed = wire::seal(&answer, &state.keys[0]);
        state.counters.bytes_sent += sealed.len() as u64;
        Some(sealed)
    }
}

/// The revision that a pull asks to go above.
fn above(frame: &Frame) -> Result<u64, Refusal> {
    match &frame.content {
        Some(Content::Pull(pull)) => Ok(pull.above),
        _ => Err(Refusal::OutOfBounds),
    }
}
