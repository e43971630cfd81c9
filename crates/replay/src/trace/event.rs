//! What can happen at a site.

use serde::Deserialize;
use serde::Serialize;

/// What can happen at a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Something fails.
    Fail {
        /// What.
        what: What,
        /// How long it is down, seconds; for good where there is none.
        #[serde(default)]
        secs: Option<u64>,
    },
    /// The next restart of this instance never comes back.
    Stick {
        /// Name of the instance.
        instance: String,
    },
    /// The platform takes an instance away.
    Leave {
        /// Name of the instance.
        instance: String,
        /// Seconds from the notice to its end.
        secs: u64,
    },
    /// The platform's table service answers nothing.
    StoreDown {
        /// For how long, seconds.
        secs: u64,
    },
    /// An entry is cut off: it acknowledges no drain.
    Cut {
        /// Name of the entry.
        entry: String,
        /// For how long, seconds.
        secs: u64,
    },
    /// The holder of every duty is replaced by one that knows nothing but the rows.
    Handover,
    /// A pool's requests are this many times their mean.
    Load {
        /// Name of the organisation.
        organisation: String,
        /// Name of the pool.
        pool: String,
        /// How many times the mean.
        times: f64,
        /// For how long, milliseconds.
        for_ms: u64,
    },
    /// Jobs are submitted, spread evenly.
    Jobs(Storm),
    /// Jobs are cancelled: those still open of the first `count` whose names begin so.
    Cancel {
        /// What the names begin with.
        prefix: String,
        /// How many.
        count: u32,
    },
    /// A worker fails every task that it starts.
    Burn {
        /// Name of its instance.
        instance: String,
        /// For how long, seconds.
        secs: u64,
    },
    /// An operator does something.
    Operator(Act),
}

/// Jobs of one kind and team, all at once or spread over a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Storm {
    /// What the names begin with.
    pub prefix: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the team.
    pub team: String,
    /// Kind of job.
    pub kind: String,
    /// How many.
    pub count: u32,
    /// Over how long, milliseconds.
    pub over_ms: u64,
    /// What their tasks really take of the declared time and size, from and to, hundredths.
    pub real_percent: (u32, u32),
}

/// What fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// One instance.
    Instance(String),
    /// Every instance of a rack.
    Rack(String),
    /// Every instance of a data centre.
    DataCentre(String),
}

/// What an operator does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Drains an instance.
    Drain(String),
    /// Returns an instance.
    Return(String),
    /// Moves an instance to a pool, `organisation/pool`.
    Move(String, String),
    /// Starts a wave, `organisation/wave`.
    WaveStart(String),
    /// Pauses a wave.
    WavePause(String),
    /// Resumes a wave.
    WaveResume(String),
    /// Aborts a wave.
    WaveAbort(String),
}
