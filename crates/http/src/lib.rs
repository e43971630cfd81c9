//! HTTP/1.1 with whole bodies, over `async-h1`, and the guards that it lacks.
//!
//! * [`Request`], [`Response`]: plain messages with whole bodies.
//! * [`Stream`]: a TCP stream that both halves of a connection share.
//! * [`serve`], [`serve_with`]: answer the requests of one caller's connection.
//! * [`Budget`], [`serve_budgeted`]: bound what all callers together make the process hold.
//! * [`Connection`]: sends requests over one connection to a server.

mod alarm;
mod codec;
mod error;
mod guard;
mod headers;
mod message;
mod serve;
mod stream;
mod transport;

pub mod budget;
pub mod client;
pub mod clock;

pub use budget::Budget;
pub use client::Connection;
pub use client::call;
pub use error::Error;
pub use headers::Headers;
pub use message::Limits;
pub use message::Request;
pub use message::Response;
pub use serve::Handler;
pub use serve::Plain;
pub use serve::serve;
pub use serve::serve_budgeted;
pub use serve::serve_with;
pub use stream::Stream;
