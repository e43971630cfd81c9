//! Messages between nodes, written by hand in the form that `prost` would generate.

use std::fmt;

use bytes::Bytes;

/// Id of a reply that answers no call: its sender is no longer the leader.
pub const UNSOLICITED: u64 = 0;

/// A call to another node. Its `Debug` output shows no key.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Call {
    /// Identifies the reply to this call; unique within one connection, never [`UNSOLICITED`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Time for which the sender waits for the reply, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub patience_ms: u64,
    /// The request.
    #[prost(oneof = "Request", tags = "3, 4, 5, 6, 7")]
    pub ask: Option<Request>,
    /// Who calls; none if the sender's configuration has no tenants.
    #[prost(message, optional, tag = "8")]
    pub caller: Option<Caller>,
}

/// On whose behalf a frontend passes a call on, and by what it has decided so.
#[derive(Clone, PartialEq, Eq, ::prost::Message)]
#[prost(skip_debug)]
pub struct Caller {
    /// Name of the queue that was called.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Name of the tenant; empty if it has none, or is not known.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// Version of the configuration by which the frontend has decided.
    #[prost(uint64, tag = "3")]
    pub config: u64,
    /// The key, for a leader with a newer configuration; empty if the call has none.
    #[prost(string, tag = "4")]
    pub key: String,
    /// Whether the frontend has admitted the call; otherwise the leader has to decide.
    #[prost(bool, tag = "5")]
    pub certain: bool,
}

/// Shows no key.
impl fmt::Debug for Caller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Caller");
        shown.field("queue", &self.queue).field("tenant", &self.tenant);
        shown.field("config", &self.config).field("certain", &self.certain).finish()
    }
}

/// A request.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub enum Request {
    /// Submit a job.
    #[prost(message, tag = "3")]
    Submit(Submit),
    /// Get the state of a job, by its name.
    #[prost(string, tag = "4")]
    State(String),
    /// Cancel a job, by its name.
    #[prost(string, tag = "5")]
    Cancel(String),
    /// Count the waiting jobs of a queue, by its name.
    #[prost(string, tag = "6")]
    Count(String),
    /// Check that the connection and the process of the receiver are alive.
    #[prost(message, tag = "7")]
    Ping(Ping),
}

/// A job to submit.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Submit {
    /// Name of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Name of its queue.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Specification of the job, as JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub spec: Vec<u8>,
    /// Name of the tenant on whose behalf it runs; empty if it has none.
    #[prost(string, tag = "4")]
    pub tenant: String,
}

/// Checks that the receiver is alive, and reports the sender's resources.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct Ping {
    /// Version of the configuration in force at the sender.
    #[prost(uint64, tag = "1")]
    pub config: u64,
    /// Share of a core that the sender has, in millicores.
    #[prost(uint32, tag = "2")]
    pub share: u32,
    /// Whether the sender reads configurations from the store, so that the answer needs no copy of
    /// a newer one.
    #[prost(bool, tag = "3")]
    pub reads_store: bool,
}

/// The reply to a call.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Reply {
    /// Id of the call, or [`UNSOLICITED`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The response; none in a reply that answers no call.
    #[prost(oneof = "Response", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub tell: Option<Response>,
}

/// A response.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub enum Response {
    /// The request took effect, and the store holds it.
    #[prost(bool, tag = "2")]
    Accepted(bool),
    /// The request had no effect, and never will have.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// The request may have taken effect, or may still do so.
    #[prost(bool, tag = "4")]
    Unknown(bool),
    /// State of a job.
    #[prost(message, tag = "5")]
    State(JobState),
    /// There is no such job.
    #[prost(bool, tag = "6")]
    Missing(bool),
    /// Number of jobs.
    #[prost(uint64, tag = "7")]
    Count(u64),
    /// Answer to a ping.
    #[prost(message, tag = "8")]
    Pong(Pong),
}

/// Why a request was refused.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Refused {
    /// HTTP status for the caller.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Reason, as text for the caller.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Time after which the caller may try again, in milliseconds; zero if not given.
    #[prost(uint64, tag = "3")]
    pub retry_ms: u64,
}

/// State of a job.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct JobState {
    /// 0: storing, 1: active, 2: completed, 3: failed, 4: cancelled.
    #[prost(uint32, tag = "1")]
    pub state: u32,
    /// Whether any task of the job has started.
    #[prost(bool, tag = "2")]
    pub begun: bool,
}

/// The answer to a ping.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Pong {
    /// Whether the node is the leader.
    #[prost(bool, tag = "1")]
    pub reigns: bool,
    /// The configuration as JSON, if the caller's is older and the caller doesn't read it from the
    /// store.
    #[prost(bytes = "bytes", tag = "2")]
    pub config: Bytes,
    /// Time for which the leader's write to the store has been unanswered, in milliseconds; zero if
    /// no write is pending.
    #[prost(uint64, tag = "3")]
    pub stalled_ms: u64,
    /// Version of the configuration in force at the receiver.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Time for which nothing has confirmed that this is the newest configuration, in milliseconds; none if nothing
    /// ever has, or there are no tenants.
    #[prost(uint64, optional, tag = "5")]
    pub unconfirmed_ms: Option<u64>,
}
