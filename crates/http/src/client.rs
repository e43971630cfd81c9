//! Sends requests over one connection to a server.

use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client;
use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::FutureExt;
use futures_lite::io;

use crate::Error;
use crate::Limits;
use crate::Request;
use crate::Response;
use crate::Stream;
use crate::convert;

/// One connection to a server; after an error it is finished.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    limits: Limits,
}

impl Connection<Stream> {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, limits: Limits) -> Result<Self, Error> {
        let stream = Stream::open(address).await.map_err(not_sent)?;
        Ok(Self::new(stream, limits))
    }
}

impl<S> Connection<S>
where
    S: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static,
{
    /// Takes over an open stream.
    pub fn new(stream: S, limits: Limits) -> Self {
        Self { stream, limits }
    }

    /// Sends a request and waits for its whole answer.
    pub async fn send(&mut self, request: &Request) -> Result<Response, Error> {
        let typed = convert::to_request(request)?;
        let encoder = client::Encoder::new(typed);
        let mut writer = self.stream.clone();
        io::copy(encoder, &mut writer).await.map_err(broken)?;
        let decoded = client::decode(self.stream.clone()).await;
        let mut answer = decoded.map_err(|error| Error::Broken(error.to_string()))?;
        let headers = convert::from_headers(answer.as_ref());
        let mut body = Vec::new();
        let mut limited = answer.take_body().take(self.limits.body as u64 + 1);
        limited.read_to_end(&mut body).await.map_err(broken)?;
        if body.len() > self.limits.body {
            return Err(Error::BodyTooLarge);
        }
        Ok(Response { status: answer.status().into(), headers, body })
    }
}

/// Sends one request over a connection of its own.
pub async fn call(
    address: SocketAddr,
    request: &Request,
    limits: Limits,
    timeout: Duration,
) -> Result<Response, Error> {
    let exchange = async {
        let mut connection = Connection::open(address, limits).await?;
        connection.send(request).await
    };
    let late = async {
        Timer::after(timeout).await;
        Err(Error::Timeout)
    };
    exchange.or(late).await
}

fn not_sent(error: std::io::Error) -> Error {
    Error::NotSent(error.to_string())
}

fn broken(error: std::io::Error) -> Error {
    Error::Broken(error.to_string())
}
