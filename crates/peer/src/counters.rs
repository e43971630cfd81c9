//! What a peer sent, heard and refused.

/// What a peer sent, heard and refused so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub frames_sent: u64,
    /// Datagrams received, whatever became of them.
    pub frames_received: u64,
    /// Bytes sent, UDP and TCP payload.
    pub bytes_sent: u64,
    /// Bytes received, UDP and TCP payload.
    pub bytes_received: u64,
}
