//! A stream with what has been read ahead, and a time limit on each wait.

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::io;
use futures_lite::ready;

use crate::Error;
use crate::Limits;
use crate::alarm::Alarm;
use crate::budget::Account;
use crate::budget::Phase;
use crate::guard::Body;
use crate::guard::Head;
use crate::guard::find_end;

/// Most bytes taken from the stream at a time.
const READ_BYTES: usize = 16 << 10;

/// Room that an idle connection may keep.
const IDLE_BYTES: usize = 1 << 10;

thread_local! {
    /// Where bytes are read to first: connections that wait need no room of their own.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A stream with what has been read ahead.
#[derive(Debug)]
pub(crate) struct Transport<S, A = ()> {
    stream: S,
    account: A,
    ahead: Vec<u8>,
    /// Memory taken up by the present message apart from what is read ahead.
    message: usize,
    alarm: Alarm,
    sent: u64,
    received: u64,
}

impl<S: AsyncRead + AsyncWrite + Unpin, A: Account> Transport<S, A> {
    pub(crate) fn new(stream: S, account: A) -> Self {
        let (ahead, alarm) = (Vec::new(), Alarm::default());
        Self { stream, account, ahead, message: 0, alarm, sent: 0, received: 0 }
    }

    /// Says what the connection is doing from now on.
    pub(crate) fn enter(&mut self, phase: Phase) {
        self.account.enter(phase);
    }

    /// Sets the memory that the present message takes up apart from what is read ahead.
    pub(crate) fn hold(&mut self, message: usize) -> Result<(), Error> {
        self.message = message;
        self.account.hold(self.ahead.capacity() + message)
    }

    /// Bytes written to the stream so far.
    pub(crate) const fn sent(&self) -> u64 {
        self.sent
    }

    /// Bytes read from the stream so far.
    pub(crate) const fn received(&self) -> u64 {
        self.received
    }

    /// Bytes read beyond the messages taken so far.
    pub(crate) fn ahead(&self) -> &[u8] {
        &self.ahead
    }

    /// Waits for bytes; nought at the stream's end.
    pub(crate) async fn fill(&mut self, deadline: Instant) -> Result<usize, Error> {
        poll_fn(|context| self.poll_fill(context, deadline)).await
    }

    fn poll_fill(
        &mut self,
        context: &mut Context<'_>,
        deadline: Instant,
    ) -> Poll<Result<usize, Error>> {
        if let Poll::Ready(room) = self.account.poll_room(context) {
            room?;
            if let Poll::Ready(read) = self.poll_read(context) {
                return Poll::Ready(read);
            }
        }
        self.alarm.poll(context, deadline).map(|()| Err(Error::Timeout))
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<Result<usize, Error>> {
        SCRATCH.with_borrow_mut(|bytes| {
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, bytes));
            let count = read.map_err(Error::broken)?;
            self.ahead.extend_from_slice(&bytes[..count]);
            self.received += count as u64;
            self.account.hold(self.ahead.capacity() + self.message)?;
            Poll::Ready(Ok(count))
        })
    }

    /// Whether the stream is open and has nothing to say, found out without waiting.
    pub(crate) async fn is_quiet(&mut self) -> bool {
        poll_fn(|context| Poll::Ready(self.poll_read(context).is_pending())).await
    }

    /// Drops empty lines that stand before a message.
    pub(crate) fn skip_empty_lines(&mut self) {
        let skipped = self.ahead.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.ahead.drain(..skipped);
    }

    /// Waits for a whole head and says how long it is; nothing where the stream ends before its
    /// first byte.
    pub(crate) async fn head(
        &mut self,
        limits: &Limits,
        deadline: Instant,
    ) -> Result<Option<usize>, Error> {
        let mut searched = 0;
        loop {
            if let Some(end) = find_end(&self.ahead, searched) {
                Head::check_len(end, limits)?;
                return Ok(Some(end));
            }
            searched = self.ahead.len();
            Head::check_len(searched, limits)?;
            if self.fill(deadline).await? == 0 {
                return match searched {
                    0 => Ok(None),
                    _ => Err(Error::broken("head cut short")),
                };
            }
        }
    }

    /// Drops the first bytes read ahead.
    pub(crate) fn consume(&mut self, count: usize) {
        self.ahead.drain(..count);
    }

    /// Waits for the rest of a body.
    pub(crate) async fn body(
        &mut self,
        mut body: Body,
        deadline: Instant,
    ) -> Result<Vec<u8>, Error> {
        let head = self.message;
        loop {
            let taken = body.absorb(&self.ahead)?;
            self.consume(taken);
            if body.is_whole() {
                self.shrink();
                self.hold(head + body.memory())?;
                return Ok(body.into_bytes());
            }
            self.hold(head + body.memory())?;
            if self.fill(deadline).await? == 0 {
                return Err(Error::broken("body cut short"));
            }
        }
    }

    /// Writes all of `bytes`. An error comes with how many had gone out before it.
    pub(crate) async fn write(
        &mut self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), (usize, Error)> {
        let mut sent = 0;
        while sent < bytes.len() {
            let written = poll_fn(|context| self.poll_write(context, &bytes[sent..], deadline));
            match written.await {
                Ok(0) => return Err((sent, Error::broken("stream closed"))),
                Ok(count) => {
                    sent += count;
                    self.sent += count as u64;
                }
                Err(error) => return Err((sent, error)),
            }
        }
        Ok(())
    }

    fn poll_write(
        &mut self,
        context: &mut Context<'_>,
        bytes: &[u8],
        deadline: Instant,
    ) -> Poll<Result<usize, Error>> {
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            return Poll::Ready(written.map_err(Error::broken));
        }
        if self.account.poll_leave(context).is_ready() {
            return Poll::Ready(Err(Error::Overloaded));
        }
        self.alarm.poll(context, deadline).map(|()| Err(Error::Timeout))
    }

    /// Writes and reads what can be without waiting, `limit` bytes read at most, and ends our half in
    /// between. What is read is dropped.
    pub(crate) async fn part(&mut self, bytes: &[u8], limit: usize) {
        self.clear();
        poll_fn(|context| {
            let mut rest = bytes;
            while let Poll::Ready(Ok(count @ 1..)) =
                Pin::new(&mut self.stream).poll_write(context, rest)
            {
                rest = &rest[count..];
            }
            let closed = Pin::new(&mut self.stream).poll_close(context);
            if matches!(closed, Poll::Ready(Ok(()))) {
                let mut left = limit;
                while let Poll::Ready(Ok(count @ 1..)) = self.poll_skip(context) {
                    left = left.saturating_sub(count);
                    if left == 0 {
                        break;
                    }
                }
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Drops what is read ahead and counts the present message as dropped.
    pub(crate) fn clear(&mut self) {
        self.ahead = Vec::new();
        // Holding less never fails.
        let _ = self.hold(0);
    }

    fn poll_skip(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        SCRATCH.with_borrow_mut(|bytes| Pin::new(&mut self.stream).poll_read(context, bytes))
    }

    /// Ends our half and reads on for a while, so that the other end can still read the answer:
    /// closing with bytes unread would reset the connection under it.
    pub(crate) async fn linger(&mut self, mut bytes: usize, deadline: Instant) {
        self.clear();
        self.enter(Phase::Idle);
        let closed = poll_fn(|context| Pin::new(&mut self.stream).poll_close(context)).await;
        if io::Result::is_err(&closed) {
            return;
        }
        while let Ok(count @ 1..) = self.skip(deadline).await {
            bytes = bytes.saturating_sub(count);
            if bytes == 0 {
                return;
            }
        }
    }

    /// Waits for bytes and drops them.
    async fn skip(&mut self, deadline: Instant) -> Result<usize, Error> {
        poll_fn(|context| {
            if let Poll::Ready(read) = self.poll_skip(context) {
                return Poll::Ready(read.map_err(Error::broken));
            }
            if self.account.poll_leave(context).is_ready() {
                return Poll::Ready(Err(Error::Overloaded));
            }
            self.alarm.poll(context, deadline).map(|()| Err(Error::Timeout))
        })
        .await
    }

    fn shrink(&mut self) {
        if self.ahead.is_empty() && self.ahead.capacity() > IDLE_BYTES {
            self.ahead = Vec::new();
        }
    }
}
