//! What the client is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::budget::Site;
use crate::outage::Class;

/// What the client is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where the platform answers; another is taken when one cannot be reached.
    pub addresses: Vec<SocketAddr>,
    /// This entry, as `data-centre/instance`.
    pub name: String,
    /// What the platform gives to the site.
    pub site: Site,
    /// How many entries share that, at least.
    pub entries: u32,
    /// Longest wait for an answer.
    pub deadlines: Deadlines,
    /// Calls under way at once.
    pub concurrency: Concurrency,
    /// Longest idle time after which a connection is used again.
    pub idle: Duration,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            name: "unnamed".to_owned(),
            site: Site::default(),
            entries: 1,
            deadlines: Deadlines::default(),
            concurrency: Concurrency::default(),
            idle: Duration::from_secs(10),
            seed: 0,
        }
    }
}

/// Longest wait for an answer, the wait for this entry's own budget included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// Of [`Class::Control`] and [`Class::Duty`].
    pub control: Duration,
    /// Of [`Class::Request`].
    pub request: Duration,
}

impl Default for Deadlines {
    fn default() -> Self {
        Self { control: Duration::from_secs(5), request: Duration::from_secs(1) }
    }
}

impl Deadlines {
    pub(crate) fn of(self, class: Class) -> Duration {
        match class {
            Class::Control | Class::Duty => self.control,
            Class::Request => self.request,
        }
    }
}

/// Calls under way at once; more are shed, so that none pile up behind a slow platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Concurrency {
    /// Of [`Class::Control`].
    pub control: usize,
    /// Of [`Class::Request`].
    pub request: usize,
    /// Of [`Class::Duty`].
    pub duty: usize,
}

impl Default for Concurrency {
    fn default() -> Self {
        Self { control: 4, request: 128, duty: 16 }
    }
}

impl Concurrency {
    pub(crate) fn of(self, class: Class) -> usize {
        match class {
            Class::Control => self.control,
            Class::Request => self.request,
            Class::Duty => self.duty,
        }
    }
}
