//! Whether a request may be sent to an upstream.

use async_channel::Receiver;
use fleet::error::Kind;

use crate::key;
use crate::queue::Refusal;
use crate::queue::Ticket;
use crate::upstream::Picked;

/// The final decision on a request that asked for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to this upstream, where it holds a slot until the slot is released.
    Send(Picked),
    /// The request may not be sent.
    Refused {
        /// Reason of the refusal.
        kind: Kind,
        /// Seconds after which the caller may try again; `None` for the default of `kind`.
        retry_after_secs: Option<u32>,
    },
}

impl Decision {
    /// A refusal with the default retry time of `kind`.
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

/// Handle of a queued request.
#[derive(Debug)]
pub struct Queued {
    /// Key of the service.
    pub route: key::Route,
    /// Identifies the request in the service's queue.
    pub ticket: Ticket,
    /// Receives the [`Decision`].
    pub decision: Receiver<Decision>,
}
