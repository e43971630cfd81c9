//! Pools: availability budget, replacement of instances, moves between pools and lending of slots.
//!
//! * [`Budget`]: the availability budget, which limits how many instances may be out of service.
//! * [`Tally`], [`Status`] and [`Target`]: current, expected and desired numbers of instances.
//! * [`observe`]: the decision that a fact about an instance calls for.
//! * [`plan`]: replacement, moves and parking of instances.
//! * [`effect`]: the changes that carry out a decision.
//! * [`lend`]: loans of idle slots to overloaded pools.

mod budget;
mod decision;
mod effect;
mod lend;
mod observe;
mod plan;
mod tally;
mod target;

pub use budget::Budget;
pub use budget::Margin;
pub use budget::Shortage;
pub use decision::Decision;
pub use decision::Reason;
pub(crate) use effect::Assignment;
pub use effect::effect;
pub(crate) use effect::start_drain;
pub use lend::Loan;
pub use lend::Loans;
pub use lend::lend;
pub use observe::observe;
pub use plan::plan;
pub use tally::Status;
pub use tally::Tally;
pub use target::Target;

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::key;
use crate::time::Time;

/// Why a member of a pool doesn't count as ready.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Absence {
    /// The member was deliberately taken out of service, automatically or by an operator.
    #[display("planned")]
    Planned,
    /// The member failed.
    #[display("failed")]
    Failed,
    /// The member appears to have failed, but so many members do that the failure signal isn't
    /// trusted. The member still receives work.
    #[display("suspect")]
    Suspect,
    /// The platform is removing the member, or the instance list no longer contains it.
    #[display("leaving")]
    Leaving,
    /// The member is new or has come back, and is being health-checked.
    #[display("checking")]
    Checking,
}

/// A pool and its absent members.
///
/// Every member that isn't ready is in [`Self::absences`]. Each decision that takes an instance out
/// of service, for whatever reason, changes this entity, so that two concurrent decisions can't
/// spend the same part of the availability budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Its name, within its organisation.
    pub name: String,
    /// The organisation that owns it.
    pub organisation: key::Organisation,
    /// Its configuration.
    pub spec: config::Pool,
    /// Slots per instance: the maximum over the services of the pool.
    pub slots: u32,
    /// Number of its instances.
    pub members: u32,
    /// Members that aren't ready, by instance name.
    pub absences: BTreeMap<String, Absence>,
    /// When its members or [`Self::absences`] last changed.
    pub changed: Time,
}

impl Pool {
    /// Number of ready members.
    pub fn ready(&self) -> u32 {
        self.members.saturating_sub(self.absences.len() as u32)
    }

    /// Number of members that are absent for this reason.
    pub fn count_absent(&self, absence: Absence) -> u32 {
        self.absences.values().filter(|&&other| other == absence).count() as u32
    }

    /// Number of members that have failed or are suspected to have failed.
    pub fn unhealthy(&self) -> u32 {
        self.count_absent(Absence::Failed) + self.count_absent(Absence::Suspect)
    }

    /// Whether one more member may be marked as failed. The limit is half of the members, but at
    /// least one.
    pub fn may_fail_one_more(&self) -> bool {
        self.count_absent(Absence::Failed) < (self.members / 2).max(1)
    }

    /// Whether one more member may be drained for the sole reason that the instance list no longer
    /// contains it. At most half of the members, but at least one, may be [`Absence::Leaving`].
    pub fn may_drain_one_more_unlisted(&self) -> bool {
        self.count_absent(Absence::Leaving) < (self.members / 2).max(1)
    }
}
