//! The messages between nodes. Written by hand as `prost` would generate them.

/// The id of a reply that nobody asked for: its sender has left the office.
pub const UNSOLICITED: u64 = 0;

/// A request to the node in office.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Call {
    /// Tells its reply from others.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Milliseconds for which the sender waits.
    #[prost(uint64, tag = "2")]
    pub patience_ms: u64,
    /// What is asked.
    #[prost(oneof = "Request", tags = "3, 4, 5, 6, 7")]
    pub ask: Option<Request>,
}

/// What is asked.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub enum Request {
    /// Take in a job.
    #[prost(message, tag = "3")]
    Submit(Submit),
    /// Tell the state of a job.
    #[prost(string, tag = "4")]
    State(String),
    /// Take a job back.
    #[prost(string, tag = "5")]
    Cancel(String),
    /// Count the jobs of a queue that wait.
    #[prost(string, tag = "6")]
    Count(String),
    /// Say that you live.
    #[prost(message, tag = "7")]
    Ping(Ping),
}

/// A job to take in.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Submit {
    /// Name of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Name of its queue.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// What is asked for, as JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub spec: Vec<u8>,
}

/// Asks for a sign of life.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct Ping {
    /// Version of the configuration in force at the sender.
    #[prost(uint64, tag = "1")]
    pub config: u64,
    /// Thousandths of a core that the sender has.
    #[prost(uint32, tag = "2")]
    pub share: u32,
}

/// The reply to a call.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Reply {
    /// The call's.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is replied.
    #[prost(oneof = "Response", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub tell: Option<Response>,
}

/// What is replied.
#[derive(Clone, PartialEq, ::prost::Oneof)]
pub enum Response {
    /// Done, and stored.
    #[prost(bool, tag = "2")]
    Accepted(bool),
    /// Not done, and never will be.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// It may have been done.
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
    /// The node lives.
    #[prost(message, tag = "8")]
    Pong(Pong),
}

/// Why not.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Refused {
    /// Status for the caller.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Why.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// When to come back, in milliseconds; nought where that is not said.
    #[prost(uint64, tag = "3")]
    pub retry_ms: u64,
}

/// State of a job.
#[derive(Clone, Copy, PartialEq, Eq, ::prost::Message)]
pub struct JobState {
    /// Storing, active, completed, failed, cancelled; from nought on.
    #[prost(uint32, tag = "1")]
    pub state: u32,
    /// Whether any task has started.
    #[prost(bool, tag = "2")]
    pub begun: bool,
}

/// A sign of life.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Pong {
    /// Whether the node is in office.
    #[prost(bool, tag = "1")]
    pub reigns: bool,
    /// The configuration as JSON, if the caller's is older.
    #[prost(bytes = "vec", tag = "2")]
    pub config: Vec<u8>,
    /// For how long it has been unable to write to the store, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub stalled_ms: u64,
}
