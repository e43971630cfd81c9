//! Maintenance waves: one small state machine an instance, resumable at any step.
//!
//! A [`Wave`] itself only says how its current run stands. How far each instance is stands with the
//! instance: its state, its [`Purpose`](crate::instance::Purpose) and the [`Mark`] that a finished
//! step leaves. A run is therefore as cheap to record at 1,200 instances as at eight, and whoever
//! holds the wave next needs nothing but the rows.

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

/// What a restart may last beyond a quarter more than expected, before it is overdue.
const RESTART_SLACK: Duration = Duration::from_secs(20);

/// How a wave's current run stands.
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
    /// Taking instances out as the budgets allow.
    #[display("running")]
    Running,
    /// Takes no further instance out; those that are out are finished.
    #[display("paused")]
    Paused,
    /// Takes no further instance out, and those not stopped yet go back.
    #[display("aborting")]
    Aborting,
    /// Ended before every instance was done.
    #[display("aborted")]
    Aborted,
    /// Every instance that could be had is done.
    #[display("done")]
    Done,
}

impl Phase {
    /// Whether the wave still has something to do or to wait for.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Running | Self::Paused | Self::Aborting)
    }
}

/// One run of a wave, as it stands on the instances that it takes out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{wave}#{number}")]
pub struct Run {
    /// Which wave.
    pub wave: key::Wave,
    /// Which run of it, from 1.
    pub number: u64,
}

/// A maintenance wave and its current run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wave {
    /// Its name, within its organisation.
    pub name: String,
    /// Whose it is.
    pub organisation: key::Organisation,
    /// What is to be done.
    pub spec: config::Wave,
    /// How the run stands.
    pub phase: Phase,
    /// The number of the run, from 1; nought if it has never run.
    pub run: u64,
    /// When the run was started.
    pub started: Time,
    /// When the run ended, if it did.
    pub ended: Option<Time>,
    /// Steps taken in the run. Each step changes it, so that no step gets past an abort.
    pub steps: u64,
    /// Instances that the run gave up on, by name.
    pub lost: Vec<String>,
}

impl Wave {
    /// The pools that it covers, as far as they are known.
    pub fn pools(&self, world: &World) -> Vec<key::Pool> {
        let names = self.spec.pools.iter();
        let keys = names.map(|name| (self.organisation, name.clone()));
        keys.filter_map(|key| world.names.pools.get(&key).copied()).collect()
    }

    /// What this run leaves on an instance; `wave` is its own key.
    pub const fn current_run(&self, wave: key::Wave) -> Run {
        Run { wave, number: self.run }
    }

    /// Whether this run still has to do `member`, which is in one of its pools. Instances that were
    /// taken in after it began are new, and those that leave need nothing.
    pub fn is_due(&self, wave: key::Wave, member: &Instance) -> bool {
        let done = member.last_run == Some(self.current_run(wave));
        let new = member.enlisted > self.started;
        let leaves = member.purpose == Some(Purpose::Leaving) || member.state == State::Gone;
        !done && !new && !leaves
    }

    /// Whether `member` has been down for longer than its restart should take, so that it is no
    /// longer counted on.
    pub fn is_overdue(&self, member: &Instance, now: Time) -> bool {
        let expected = Duration::from_secs(u64::from(self.spec.restart_secs));
        let stopped = member.state == State::Stopped;
        stopped && now.since(member.since) >= expected * 5 / 4 + RESTART_SLACK
    }

    /// Whether this run has `member` out.
    pub fn is_maintaining(&self, wave: key::Wave, member: &Instance) -> bool {
        member.purpose == Some(Purpose::Wave(self.current_run(wave)))
    }
}

/// What the wave systems, or an operator, want done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Begin a new run.
    Start {
        /// Which wave.
        wave: key::Wave,
    },
    /// Take no further instance out for now.
    Pause {
        /// Which wave.
        wave: key::Wave,
    },
    /// Go on after a pause.
    Resume {
        /// Which wave.
        wave: key::Wave,
    },
    /// Give the run up; what is not stopped yet goes back.
    Abort {
        /// Which wave.
        wave: key::Wave,
    },
    /// End a run with nothing left to do, or an aborted one with nothing left out.
    Finish {
        /// Which wave.
        wave: key::Wave,
    },
    /// Take up the next step of an instance: drain a serving one, stop a drained one.
    Step {
        /// Which wave.
        wave: key::Wave,
        /// Which instance.
        instance: key::Instance,
    },
    /// Put back an instance that is drained, or being drained, but not stopped.
    Return {
        /// Which wave.
        wave: key::Wave,
        /// Which instance.
        instance: key::Instance,
    },
    /// Count an instance as failed that has not come back from its restart in time.
    Lose {
        /// Which wave.
        wave: key::Wave,
        /// Which instance.
        instance: key::Instance,
    },
}
