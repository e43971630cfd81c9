//! A worker on an address of its own.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Async;
use async_io::Timer;
use fleet::time::Time;
use http::Limits;

use super::Settings;
use super::Worker;

/// How often a paused worker looks whether it goes on.
const PAUSE: Duration = Duration::from_millis(10);

impl Worker {
    /// Listens on `address` and answers on `executor`; returns where it listens too.
    pub fn bind(
        executor: &Arc<Executor<'static>>,
        address: SocketAddr,
        settings: Settings,
    ) -> io::Result<(Self, SocketAddr)> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let this = Self::new(settings, 1);
        executor.spawn(this.clone().accept(Arc::clone(executor), listener)).detach();
        Ok((this, address))
    }

    async fn accept(self, executor: Arc<Executor<'static>>, listener: Async<TcpListener>) {
        let start = clock();
        while let Ok((stream, _)) = listener.accept().await {
            let this = self.clone();
            let connection = async move {
                let Ok(stream) = http::Stream::new(stream) else { return };
                let limits = Limits::default();
                let answer = |request: http::Request| {
                    let this = this.clone();
                    async move {
                        while this.faults().paused {
                            Timer::after(PAUSE).await;
                        }
                        this.handle(&request, Time::ZERO + clock().duration_since(start))
                    }
                };
                let _ = http::serve(stream, &limits, answer).await;
            };
            executor.spawn(connection).detach();
        }
    }
}

#[expect(clippy::disallowed_methods, reason = "the stand-in's own clock")]
fn clock() -> Instant {
    Instant::now()
}
