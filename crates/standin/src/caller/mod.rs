//! Callers: a seeded open-loop load, and what each request was told.
//!
//! * [`Settings`]: how many requests come when, and what they are.
//! * [`Callers`]: sends them, whatever becomes of earlier ones.
//! * [`Told`]: how a request ended, as its caller sees it.

mod callers;
mod schedule;
mod told;

pub use callers::Balancer;
pub use callers::Callers;
pub use schedule::Phase;
pub use schedule::schedule;
pub use told::Report;
pub use told::Told;

use std::time::Duration;

/// How many requests come when, and what they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the gaps between requests.
    pub seed: u64,
    /// Starts every request id; must differ between loads of one test.
    pub name: String,
    /// Requests a second, on the mean.
    pub mean: f64,
    /// What happens one after another.
    pub phases: Vec<Phase>,
    /// Path of every request.
    pub target: String,
    /// Bytes of every body.
    pub body: usize,
    /// Whether each request has an idempotency key: its id.
    pub keyed: bool,
    /// Team that the requests come from.
    pub team: Option<String>,
    /// How urgent they are.
    pub priority: Option<String>,
    /// How long a caller waits for its answer.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            name: "caller".to_owned(),
            mean: 100.0,
            phases: vec![Phase::mean(Duration::from_secs(1))],
            target: "/organisation/service/path".to_owned(),
            body: 64,
            keyed: false,
            team: None,
            priority: None,
            timeout: Duration::from_secs(5),
        }
    }
}
