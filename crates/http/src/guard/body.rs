//! Collects a body and counts it.

use crate::Error;
use crate::guard::Framing;

/// Longest line of a chunk's size with its extensions, bytes.
const MAX_CHUNK_LINE: usize = 256;

/// Longest trailer section, bytes.
const MAX_TRAILER: usize = 4 << 10;

/// A body as far as it has come in.
#[derive(Debug)]
pub(crate) struct Body {
    bytes: Vec<u8>,
    limit: usize,
    state: State,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes, then the end.
    Length(usize),
    /// The line with a chunk's size.
    Size,
    /// So many bytes of a chunk.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    /// Trailer lines, so many bytes so far, up to an empty line.
    Trailer(usize),
    /// Nothing.
    Done,
}

impl Body {
    /// Starts a body, or refuses one that is declared longer than `limit` bytes.
    pub(crate) fn new(framing: Framing, limit: usize) -> Result<Self, Error> {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) if length > limit as u64 => return Err(Error::BodyTooLarge),
            Framing::Length(length) => State::Length(length as usize),
            Framing::Chunked => State::Size,
        };
        Ok(Self { bytes: Vec::new(), limit, state })
    }

    /// Whether all of it is here.
    pub(crate) fn is_whole(&self) -> bool {
        self.state == State::Done
    }

    /// The bytes, once it is whole.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Memory that its bytes take up so far.
    pub(crate) fn memory(&self) -> usize {
        self.bytes.capacity()
    }

    /// Takes what belongs to it from the front of `bytes` and returns how many those were.
    pub(crate) fn absorb(&mut self, bytes: &[u8]) -> Result<usize, Error> {
        let mut taken = 0;
        while let Some(step) = self.step(&bytes[taken..])? {
            taken += step;
        }
        Ok(taken)
    }

    /// One step on; nothing where more bytes are needed or it is whole.
    fn step(&mut self, bytes: &[u8]) -> Result<Option<usize>, Error> {
        match self.state {
            State::Done => Ok(None),
            _ if bytes.is_empty() => Ok(None),
            State::Length(left) => Ok(Some(self.take(bytes, left, State::Length, State::Done))),
            State::Data(left) => Ok(Some(self.take(bytes, left, State::Data, State::DataEnd))),
            State::Size => self.size(bytes),
            State::DataEnd => self.data_end(bytes),
            State::Trailer(seen) => self.trailer(bytes, seen),
        }
    }

    fn take(&mut self, bytes: &[u8], left: usize, more: fn(usize) -> State, end: State) -> usize {
        let count = left.min(bytes.len());
        self.reserve(count);
        self.bytes.extend_from_slice(&bytes[..count]);
        self.state = if count == left { end } else { more(left - count) };
        count
    }

    /// Makes room for `count` bytes more: doubles it, but not beyond the longest body, and takes none
    /// for bytes that are only announced.
    fn reserve(&mut self, count: usize) {
        let needed = self.bytes.len() + count;
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).min(self.limit);
            self.bytes.reserve_exact(needed.max(doubled) - self.bytes.len());
        }
    }

    fn size(&mut self, bytes: &[u8]) -> Result<Option<usize>, Error> {
        if !bytes[0].is_ascii_hexdigit() {
            return Err(Error::malformed("chunk without a size"));
        }
        let parsed = httparse::parse_chunk_size(bytes);
        match parsed.map_err(|_| Error::malformed("bad chunk size"))? {
            httparse::Status::Partial if bytes.len() > MAX_CHUNK_LINE => {
                Err(Error::malformed("chunk line too long"))
            }
            httparse::Status::Partial => Ok(None),
            httparse::Status::Complete((end, size)) => {
                if size > (self.limit - self.bytes.len()) as u64 {
                    return Err(Error::BodyTooLarge);
                }
                self.state = if size == 0 { State::Trailer(0) } else { State::Data(size as usize) };
                Ok(Some(end))
            }
        }
    }

    fn data_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, Error> {
        match bytes {
            [b'\r', b'\n', ..] => {
                self.state = State::Size;
                Ok(Some(2))
            }
            [b'\r'] => Ok(None),
            _ => Err(Error::malformed("chunk longer than its size")),
        }
    }

    /// Trailers are allowed and dropped.
    fn trailer(&mut self, bytes: &[u8], seen: usize) -> Result<Option<usize>, Error> {
        let line = bytes.windows(2).position(|window| window == b"\r\n");
        match line {
            _ if seen + bytes.len().min(MAX_TRAILER + 1) > MAX_TRAILER && line != Some(0) => {
                Err(Error::malformed("trailer too long"))
            }
            None => Ok(None),
            Some(0) => {
                self.state = State::Done;
                Ok(Some(2))
            }
            Some(end) => {
                self.state = State::Trailer(seen + end + 2);
                Ok(Some(end + 2))
            }
        }
    }
}
