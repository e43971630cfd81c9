//! Sends requests over one connection to a server.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::FutureExt;

use crate::Error;
use crate::Limits;
use crate::Request;
use crate::Response;
use crate::Stream;
use crate::clock;
use crate::codec;
use crate::guard::Body;
use crate::guard::Head;
use crate::transport::Transport;

/// Interim answers (1xx) that are passed over before the final one, at most.
const MAX_INTERIM: usize = 4;

/// One connection to a server; after an error it is finished.
#[derive(Debug)]
pub struct Connection<S> {
    transport: Transport<S>,
    limits: Limits,
    finished: bool,
}

impl Connection<Stream> {
    /// Opens a connection within [`Limits::message`].
    pub async fn open(address: SocketAddr, limits: Limits) -> Result<Self, Error> {
        Self::open_by(address, limits, clock::now() + limits.message).await
    }

    /// Opens a connection by `deadline`. Whatever goes wrong is [`Error::NotSent`].
    pub async fn open_by(
        address: SocketAddr,
        limits: Limits,
        deadline: Instant,
    ) -> Result<Self, Error> {
        let opened = async { Stream::open(address).await.map_err(Error::not_sent) };
        let late = async {
            Timer::at(deadline).await;
            Err(Error::not_sent("timeout"))
        };
        Ok(Self::new(opened.or(late).await?, limits))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Takes over an open stream.
    pub fn new(stream: S, limits: Limits) -> Self {
        Self { transport: Transport::new(stream, ()), limits, finished: false }
    }

    /// Bounds the answers to later requests.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Whether nothing more can be sent over it.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Bytes written to the stream so far.
    pub const fn sent(&self) -> u64 {
        self.transport.sent()
    }

    /// Bytes read from the stream so far.
    pub const fn received(&self) -> u64 {
        self.transport.received()
    }

    /// Looks, without waiting, whether the server has closed it or sent bytes that nobody asked
    /// for. A connection that has gone silent looks sound here.
    pub async fn is_sound(&mut self) -> bool {
        self.finished = self.finished || !self.transport.is_quiet().await;
        !self.finished
    }

    /// Sends a request and waits for its whole answer, within [`Limits::message`].
    pub async fn send(&mut self, request: &Request) -> Result<Response, Error> {
        self.send_by(request, clock::now() + self.limits.message).await
    }

    /// Sends a request and waits for its whole answer until `deadline`.
    ///
    /// After any error the connection is finished: a late answer would meet the wrong request.
    /// Dropping the future half-way finishes it too.
    pub async fn send_by(
        &mut self,
        request: &Request,
        deadline: Instant,
    ) -> Result<Response, Error> {
        if self.finished || !self.transport.ahead().is_empty() {
            return Err(Error::not_sent("connection finished"));
        }
        self.finished = true;
        let bytes = codec::encode_request(request).map_err(Error::not_sent)?;
        match self.transport.write(&bytes, deadline).await {
            Ok(()) => {}
            Err((0, error)) => return Err(Error::not_sent(error)),
            Err((_, error)) => return self.early_answer(request, deadline, error).await,
        }
        let (response, close) = self.receive(request, deadline).await?;
        self.finished = close || !self.transport.ahead().is_empty();
        Ok(response)
    }

    /// A server may refuse a request that it has not read to its end, and close.
    async fn early_answer(
        &mut self,
        request: &Request,
        deadline: Instant,
        error: Error,
    ) -> Result<Response, Error> {
        match self.receive(request, deadline).await {
            Ok((response, _)) if response.status >= 400 => Ok(response),
            _ => Err(error),
        }
    }

    async fn receive(
        &mut self,
        request: &Request,
        deadline: Instant,
    ) -> Result<(Response, bool), Error> {
        for _ in 0..=MAX_INTERIM {
            let end = self.transport.head(&self.limits, deadline).await?;
            let end = end.ok_or_else(|| Error::broken("closed without an answer"))?;
            let bytes = &self.transport.ahead()[..end];
            let bodiless = request.method == "HEAD";
            let (head, mut response) = Head::response(bytes, bodiless, &self.limits)?;
            self.transport.consume(end);
            if matches!(response.status, 100..=199) {
                continue;
            }
            let body = Body::new(head.framing, self.limits.body)?;
            response.body = self.transport.body(body, deadline).await?;
            return Ok((response, head.close));
        }
        Err(Error::malformed("too many interim answers"))
    }
}

/// Sends one request over a connection of its own.
pub async fn call(
    address: SocketAddr,
    request: &Request,
    limits: Limits,
    timeout: Duration,
) -> Result<Response, Error> {
    let deadline = clock::now() + timeout;
    let mut connection = Connection::open_by(address, limits, deadline).await?;
    connection.send_by(request, deadline).await
}
