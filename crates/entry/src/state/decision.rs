//! What a request that asks for a slot is told.

use async_channel::Receiver;
use fleet::error::Kind;

use crate::key;
use crate::queue::Refusal;
use crate::queue::Ticket;
use crate::upstream::Picked;

/// What a request that asks for a slot is told; it is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent. Its slot is taken until it is released.
    Send(Picked),
    /// It can't be, and has not been.
    Refused {
        /// Why.
        kind: Kind,
        /// After how many seconds a repeat may help, where that is known better than by the kind.
        retry_after_secs: Option<u32>,
    },
}

impl Decision {
    /// A refusal with the kind's own time to come back.
    pub const fn refused(kind: Kind) -> Self {
        Self::Refused { kind, retry_after_secs: None }
    }
}

impl From<Refusal> for Decision {
    fn from(refusal: Refusal) -> Self {
        let secs = refusal.retry_after.as_secs_f64().ceil().max(1.0) as u32;
        Self::Refused { kind: Kind::QueueFull, retry_after_secs: Some(secs) }
    }
}

/// A request's place in a queue.
#[derive(Debug)]
pub struct Queued {
    /// The service whose queue it is.
    pub route: key::Route,
    /// Its ticket.
    pub ticket: Ticket,
    /// Where its [`Decision`] arrives.
    pub decision: Receiver<Decision>,
}
