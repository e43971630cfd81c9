//! A TCP stream that can be cloned: both halves of a connection read and write the same socket.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// A TCP stream that can be cloned.
#[derive(Clone, Debug)]
pub struct Stream(Arc<Async<TcpStream>>);

impl Stream {
    /// Connects to a server.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Takes over an accepted connection.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        Ok(Self(Arc::new(stream)))
    }

    /// Bounds what the kernel keeps in each direction of the connections that `listener` accepts from now on,
    /// in bytes: what was received and not read yet, and what was sent and not received yet.
    ///
    /// # Errors
    ///
    /// The kernel refuses.
    pub fn bound_buffers(listener: &TcpListener, bytes: usize) -> io::Result<()> {
        rustix::net::sockopt::set_socket_recv_buffer_size(listener, bytes)?;
        rustix::net::sockopt::set_socket_send_buffer_size(listener, bytes)?;
        Ok(())
    }

    /// Lets the connection be reset when it is closed: what the network still holds of an
    /// abandoned request is lost then, and does not arrive after the network has mended.
    pub fn reset_on_close(&self) -> io::Result<()> {
        rustix::net::sockopt::set_socket_linger(self.0.get_ref(), Some(Duration::ZERO))?;
        Ok(())
    }

    /// The other end's address.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.0.get_ref().peer_addr()
    }

    /// Ready once the other end has closed or reset the connection.
    ///
    /// Bytes that nobody has read yet hide what comes after them; it then stays pending.
    pub async fn gone(&self) {
        let mut byte = [0];
        if let Ok(1..) = self.0.peek(&mut byte).await {
            std::future::pending().await
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(context)
    }

    /// Ends our half: the other end reads to the end of what was sent.
    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.get_ref().shutdown(Shutdown::Write))
    }
}
