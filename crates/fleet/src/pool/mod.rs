//! Pools: the availability budget, replacement, moves between pools and lending of slots.
//!
//! * [`Budget`]: how many instances may be out, and which one more.
//! * [`effect`]: what a decision changes.
//! * [`observe`]: what a fact means for an instance.
//! * [`plan`]: replacement, moves, parking.
//! * [`lend`]: idle slots for a pool that bursts.

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
pub(crate) use effect::take_out;
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

/// Why a member of a pool does not count as ready.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Absence {
    /// It is out on purpose, ours or an operator's.
    #[display("planned")]
    Planned,
    /// It failed.
    #[display("failed")]
    Failed,
    /// It looks failed, but too many do for the signal to be believed. It still gets work.
    #[display("suspect")]
    Suspect,
    /// The platform is taking it away.
    #[display("leaving")]
    Leaving,
    /// It is new, or back, and being checked.
    #[display("checking")]
    Checking,
}

/// A pool and what of its promise is spent.
///
/// Every member that is not ready is in [`Self::out`]. Whoever takes an instance out, for whatever
/// reason, changes this entity, so that no two of them can spend the same budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Its name, within its organisation.
    pub name: String,
    /// Whose it is.
    pub organisation: key::Organisation,
    /// What is promised.
    pub spec: config::Pool,
    /// Slots of each of its instances, as its services declare them.
    pub slots: u32,
    /// How many instances it has.
    pub members: u32,
    /// Members that are not ready, by name.
    pub absences: BTreeMap<String, Absence>,
    /// When its members or who of them is out last changed.
    pub changed: Time,
}

impl Pool {
    /// Members that are ready.
    pub fn ready(&self) -> u32 {
        self.members.saturating_sub(self.absences.len() as u32)
    }

    /// Members that are out for this reason.
    pub fn count_absent(&self, absence: Absence) -> u32 {
        self.absences.values().filter(|&&other| other == absence).count() as u32
    }

    /// Members that failed or look failed.
    pub fn unhealthy(&self) -> u32 {
        self.count_absent(Absence::Failed) + self.count_absent(Absence::Suspect)
    }

    /// Whether one more member may be counted as failed: at most half of them, and always one.
    pub fn may_fail_one_more(&self) -> bool {
        self.count_absent(Absence::Failed) < (self.members / 2).max(1)
    }

    /// Whether one more member may be taken for leaving on the word of the list's silence alone:
    /// at most half of them, and always one.
    pub fn may_leave_one_more(&self) -> bool {
        self.count_absent(Absence::Leaving) < (self.members / 2).max(1)
    }
}
