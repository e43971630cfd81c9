//! Datagrams in and out.

use std::sync::Arc;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use wire::MAX_DATAGRAM_BYTES;

use crate::clock;
use crate::membership::Outgoing;

use super::Shared;
use super::State;

/// Somewhat larger than a datagram may be, so that a larger one shows.
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 64;

/// Does what is due, again and again.
pub(super) async fn tick(shared: Arc<Shared>, woken: Receiver<()>) {
    loop {
        let (out, pause) = {
            let mut state = shared.lock();
            let now = clock::now(state.origin);
            let out = state.membership.tick(now);
            (out, state.membership.due().since(now))
        };
        shared.send(out);
        let due = async {
            Timer::after(pause).await;
        };
        let news = async {
            let _ = woken.recv().await;
        };
        due.or(news).await;
    }
}

/// Takes in whatever comes.
pub(super) async fn receive(shared: Arc<Shared>) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // An error here is about one datagram, such as a port that nobody listens on.
        let Ok((length, from)) = shared.socket.recv_from(&mut buffer).await else { continue };
        let (out, news) = shared.lock().take(&buffer[..length], from);
        shared.send(out);
        if news {
            let _ = shared.news.try_send(());
        }
    }
}

impl State {
    /// Takes in a datagram. Returns what to send, and whether a peer serves a higher revision.
    fn take(&mut self, bytes: &[u8], from: std::net::SocketAddr) -> (Vec<Outgoing>, bool) {
        self.counters.frames_received += 1;
        self.counters.bytes_received += bytes.len() as u64;
        let frame = match wire::open(bytes, MAX_DATAGRAM_BYTES, &self.keys) {
            Ok(frame) => frame,
            Err(refusal) => {
                self.counters.refuse(refusal);
                return (Vec::new(), false);
            }
        };
        let now = clock::now(self.origin);
        let received = self.membership.receive(now, from, frame);
        if let Some(refusal) = received.refusal {
            self.counters.refuse(refusal);
        }
        (received.answers, self.membership.source(now).is_some())
    }
}

impl Shared {
    /// Sends at once; what the network does not take is lost, as it might be on its way.
    pub(super) fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, frame } in out {
            let bytes = {
                let state = self.lock();
                wire::seal(&frame, &state.keys[0])
            };
            let sent = self.socket.get_ref().send_to(&bytes, to);
            let mut state = self.lock();
            match sent {
                Ok(_) => {
                    state.counters.frames_sent += 1;
                    state.counters.bytes_sent += bytes.len() as u64;
                }
                Err(_) => state.counters.send_failures += 1,
            }
        }
    }
}
