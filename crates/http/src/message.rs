//! Plain messages with whole bodies.

use std::time::Duration;

use crate::Headers;

/// A request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The method, in capitals.
    pub method: String,
    /// Path and query, starting with a slash.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// A request with no body.
    pub fn new(method: impl Into<String>, target: impl Into<String>) -> Self {
        Self { method: method.into(), target: target.into(), ..Self::default() }
    }

    /// The same with a body.
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// The same with one more header field; `name` must be in lower case.
    pub fn with_header(mut self, name: impl AsRef<str>, value: impl AsRef<str>) -> Self {
        self.headers.push(name, value);
        self
    }
}

/// A response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with no body.
    pub fn new(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// The same with a body.
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// The same with one more header field; `name` must be in lower case.
    pub fn with_header(mut self, name: impl AsRef<str>, value: impl AsRef<str>) -> Self {
        self.headers.push(name, value);
        self
    }
}

/// Bounds on what a peer may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a message's head.
    pub head: usize,
    /// Header fields of a message.
    pub fields: usize,
    /// Bytes of a body.
    pub body: usize,
    /// Longest wait for a whole message once its first byte is there.
    pub message: Duration,
    /// Longest wait for the first byte of a next request.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 8 << 10,
            fields: 64,
            body: 1 << 20,
            message: Duration::from_secs(10),
            idle: Duration::from_secs(60),
        }
    }
}
