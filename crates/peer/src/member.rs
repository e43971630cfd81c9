//! What is known about a peer.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use fleet::time::Time;

use crate::Summary;

/// Whether a peer is there.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Heard of lately, directly or through others.
    #[display("alive")]
    Alive,
    /// Not heard of for a while.
    #[display("suspect")]
    Suspect,
    /// Not heard of for so long that its duties may move.
    #[display("dead")]
    Dead,
    /// It said that it stops.
    #[display("left")]
    Left,
}

/// What is known about a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where its frames come from.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// Whether it is there.
    pub status: Status,
    /// When its latest heartbeat was heard of.
    pub heard: Time,
    /// The latest summary.
    pub summary: Arc<Summary>,
}
