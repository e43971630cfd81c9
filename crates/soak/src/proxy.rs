//! A loopback proxy that spoils connections.

use std::cell::Cell;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use http::Stream;

/// Time between two looks of a silenced connection.
const LOOK: Duration = Duration::from_millis(20);

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mood {
    /// It passes all on.
    #[default]
    Sound,
    /// It passes on late.
    Slow,
    /// It holds bytes of both ways back, and takes new connections.
    Silent,
    /// It holds back only what the server says.
    Deaf,
    /// It resets connections, old and new.
    Reset,
}

/// A proxy before one server.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// What it does to connections.
    pub(crate) mood: Cell<Mood>,
}

impl Proxy {
    /// Listens before the server at `target`.
    pub(crate) fn spawn(
        executor: &Rc<LocalExecutor<'static>>,
        target: SocketAddr,
    ) -> io::Result<Rc<Self>> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = Async::<TcpListener>::bind(any)?;
        let address = listener.get_ref().local_addr()?;
        let proxy = Rc::new(Self { address, mood: Cell::default() });
        let (taking, spawner) = (Rc::clone(&proxy), Rc::clone(executor));
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Ok(stream) = Stream::new(stream) else { continue };
                spawner.spawn(Rc::clone(&taking).pass(stream, target)).detach();
            }
        };
        executor.spawn(accepting).detach();
        Ok(proxy)
    }

    async fn pass(self: Rc<Self>, near: Stream, target: SocketAddr) {
        let Ok(far) = Stream::open(target).await else { return };
        let there = self.copy(near.clone(), far.clone(), false);
        let back = self.copy(far.clone(), near.clone(), true);
        let resetting = async {
            while self.mood.get() != Mood::Reset {
                Timer::after(LOOK).await;
            }
        };
        there.or(back).or(resetting).await;
        if self.mood.get() == Mood::Reset {
            // Where it fails, the connection just closes.
            let _ = near.reset_on_close();
        }
    }

    async fn copy(&self, mut from: Stream, mut to: Stream, back: bool) {
        let mut bytes = vec![0; 16 << 10];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            loop {
                match self.mood.get() {
                    Mood::Silent => Timer::after(LOOK).await,
                    Mood::Deaf if back => Timer::after(LOOK).await,
                    Mood::Slow => {
                        Timer::after(LOOK * 5).await;
                        break;
                    }
                    Mood::Sound | Mood::Deaf | Mood::Reset => break,
                };
            }
            if to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }
}
