//! Maintenance waves: a state machine per instance, which can be resumed at any step.
//!
//! A [`Wave`] stores the state of its current run only. The progress of each instance is stored with
//! the instance: its state, its [`Purpose`](crate::instance::Purpose) and the [`Run`] that last
//! maintained it. Storing a step therefore costs the same with 1,200 instances as with eight, and
//! the next holder of the duty needs nothing but the rows.

mod effect;
mod plan;
mod progress;

pub use effect::effect;
pub use plan::plan;
pub use progress::Progress;
pub use progress::Stall;
pub use progress::progress;

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::time::Time;
use crate::world::World;

/// Time after which a restart is overdue, on top of 125% of its expected duration.
const RESTART_SLACK: Duration = Duration::from_secs(20);

/// The phase of a wave's current run.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Not started.
    #[default]
    #[display("idle")]
    Idle,
    /// Draining and restarting instances as the availability budgets allow.
    #[display("running")]
    Running,
    /// Drains no further instance; the maintenance of those already out of service is completed.
    #[display("paused")]
    Paused,
    /// Drains no further instance; those that aren't stopped yet return to service.
    #[display("aborting")]
    Aborting,
    /// Ended by an abort.
    #[display("aborted")]
    Aborted,
    /// Ended; every instance was maintained, apart from those that are lost.
    #[display("done")]
    Done,
}

impl Phase {
    /// Whether the run has started and not ended.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Running | Self::Paused | Self::Aborting)
    }
}

/// One run of a wave. Instances refer to the run that maintains them.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{wave}#{number}")]
pub struct Run {
    /// The wave.
    pub wave: key::Wave,
    /// Number of the run, from 1.
    pub number: u64,
}

/// A maintenance wave and its current run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wave {
    /// Its name, within its organisation.
    pub name: String,
    /// The organisation that owns it.
    pub organisation: key::Organisation,
    /// Its configuration.
    pub spec: config::Wave,
    /// Phase of the current run.
    pub phase: Phase,
    /// Number of the current run, from 1; 0 if the wave has never run.
    pub run: u64,
    /// When the run started.
    pub started: Time,
    /// When the run ended, if it has ended.
    pub ended: Option<Time>,
    /// Number of steps taken in the run. Each step changes it, so that a step conflicts with a
    /// concurrent abort.
    pub steps: u64,
    /// Names of the instances that were still to be maintained when the run ended, since they failed
    /// or didn't come back from their restart.
    pub lost: Vec<String>,
}

impl Wave {
    /// The pools that the wave covers, without those that are unknown.
    pub fn pools(&self, world: &World) -> Vec<key::Pool> {
        let names = self.spec.pools.iter();
        let keys = names.map(|name| (self.organisation, name.clone()));
        keys.filter_map(|key| world.names.pools.get(&key).copied()).collect()
    }

    /// The current run; `wave` is the key of this wave.
    pub const fn current_run(&self, wave: key::Wave) -> Run {
        Run { wave, number: self.run }
    }

    /// Whether the current run still has to maintain `member`, which belongs to one of the wave's
    /// pools. Instances that were added after the start of the run need no maintenance, nor do those
    /// that the platform removes.
    pub fn is_due(&self, wave: key::Wave, member: &Instance) -> bool {
        let is_done = member.last_run == Some(self.current_run(wave));
        let is_new = member.enlisted > self.started;
        let is_leaving = member.purpose == Some(Purpose::Leaving) || member.state == State::Gone;
        !is_done && !is_new && !is_leaving
    }

    /// Whether `member` has been stopped for longer than its restart should take, so that its return
    /// is no longer expected.
    pub fn is_overdue(&self, member: &Instance, now: Time) -> bool {
        let expected = Duration::from_secs(u64::from(self.spec.restart_secs));
        let is_stopped = member.state == State::Stopped;
        is_stopped && now.since(member.since) >= expected * 5 / 4 + RESTART_SLACK
    }

    /// Whether the current run has taken `member` out of service for maintenance.
    pub fn is_maintaining(&self, wave: key::Wave, member: &Instance) -> bool {
        member.purpose == Some(Purpose::Wave(self.current_run(wave)))
    }
}

/// A decision about a wave, by the planner or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start a new run.
    Start {
        /// The wave.
        wave: key::Wave,
    },
    /// Pause the run: drain no further instance.
    Pause {
        /// The wave.
        wave: key::Wave,
    },
    /// Resume the paused run.
    Resume {
        /// The wave.
        wave: key::Wave,
    },
    /// Abort the run: return the instances that aren't stopped yet to service.
    Abort {
        /// The wave.
        wave: key::Wave,
    },
    /// End a run that has nothing left to do, or an aborted one that has no instance left out of
    /// service.
    Finish {
        /// The wave.
        wave: key::Wave,
    },
    /// Start the next step of an instance: drain a serving one, stop a drained one, or restart a
    /// parked one.
    Step {
        /// The wave.
        wave: key::Wave,
        /// The instance.
        instance: key::Instance,
    },
    /// Return a draining or drained instance to service.
    Return {
        /// The wave.
        wave: key::Wave,
        /// The instance.
        instance: key::Instance,
    },
    /// Mark an instance that hasn't come back from its restart in time as failed.
    Lose {
        /// The wave.
        wave: key::Wave,
        /// The instance.
        instance: key::Instance,
    },
}
