//! What a peer is told at its start.

use std::net::SocketAddr;
use std::time::Instant;

use wire::Key;

/// What a peer is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name on the instance list.
    pub name: String,
    /// Its region: entries of one region are members of each other.
    pub region: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where its frames come in, over UDP and TCP.
    pub bind: SocketAddr,
    /// Where others of its region may be.
    pub seeds: Vec<SocketAddr>,
    /// Entries of other regions that share the configuration; empty where regions have their own.
    pub beyond: Vec<SocketAddr>,
    /// The first signs, all are accepted.
    pub keys: Vec<Key>,
    /// The moment that the daemon's [`Time`](fleet::time::Time) counts from.
    pub origin: Instant,
}
