//! What `async-h1` does not check: the bounds and the framing of a message.
//!
//! * [`Head`]: what a head says, and what follows it, by the rules of RFC 9112.
//! * [`Body`]: collects a body and counts it, whole or not at all.
//!
//! Lines, fields and chunk sizes are parsed by `httparse`; only the rules are here.

mod body;
mod head;

pub(crate) use body::Body;
pub(crate) use head::Framing;
pub(crate) use head::Head;
pub(crate) use head::find_end;
