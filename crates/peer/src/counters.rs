//! What a peer sent, heard and refused.

use std::collections::BTreeMap;

use wire::Refusal;

/// What a peer sent, heard and refused so far. Bytes are those of UDP and TCP payloads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub frames_sent: u64,
    /// Datagrams received, whatever became of them.
    pub frames_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Datagrams that the network would not take.
    pub send_failures: u64,
    /// Frames that were not taken, by kind.
    pub refused: BTreeMap<Refusal, u64>,
    /// Documents pulled from peers.
    pub pulls: u64,
    /// Pulls that failed: busy, silent, cut short or not what was offered.
    pub pull_failures: u64,
    /// Documents served to peers.
    pub serves: u64,
    /// Pulls that were sent away because too many were under way.
    pub busy: u64,
}

impl Counters {
    pub(crate) fn refuse(&mut self, refusal: Refusal) {
        *self.refused.entry(refusal).or_default() += 1;
    }
}
