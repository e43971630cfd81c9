//! What a fact means for an instance.
//!
//! Facts are told again for as long as they hold, so nothing here needs to remember one. Every
//! automatic act is bounded: where too much of a pool or of an organisation looks failed at once,
//! the signal is doubted more than the instances.

use std::time::Duration;

use crate::fact::Fact;
use crate::instance::Instance;
use crate::instance::Purpose;
use crate::instance::State;
use crate::key;
use crate::pool::Absence;
use crate::pool::Decision;
use crate::pool::Pool;
use crate::pool::Reason;
use crate::time::Time;
use crate::world::World;

/// How long an instance without earlier failures must answer before it serves again; doubled for
/// each failure in a row.
const CHECK: Duration = Duration::from_secs(2);

/// Failures in a row beyond which the check grows no longer.
const MAX_STRIKES: u32 = 7;

/// How long a new instance may be silent before it counts as failed.
const START_PATIENCE: Duration = Duration::from_secs(120);

/// How far the instance list may lag behind what the tables already know.
const LIST_LAG: Duration = Duration::from_secs(60);

/// How long the row of an instance that is gone is kept.
const FORGET: Duration = Duration::from_secs(24 * 3600);

/// What `fact` means for the instance that it is about.
pub fn observe(world: &World, fact: &Fact, now: Time) -> Vec<Decision> {
    let Some(key) = about(fact) else {
        return Vec::new();
    };
    let Some(instance) = world.instances.get(key) else {
        return Vec::new();
    };
    let Some(pool) = world.pools.get(instance.pool) else {
        return Vec::new();
    };
    let seen = Seen { world, key, instance, pool, now };
    let decision = match fact {
        Fact::Listed { leaving: true, .. } => seen.leaving(),
        Fact::Listed { leaving: false, .. } => seen.listed(),
        Fact::Unlisted(_) => seen.unlisted(),
        Fact::Healthy(_) => seen.answers(),
        Fact::Restarted(_) => seen.restarted(),
        Fact::Unresponsive(_) => seen.silent(),
        Fact::Quiesced(_) => seen.quiet(),
        Fact::Unacknowledged { .. } | Fact::Demand(_) => None,
        Fact::Report(_) | Fact::Refused { .. } => None,
    };
    decision.into_iter().collect()
}

const fn about(fact: &Fact) -> Option<key::Instance> {
    match fact {
        Fact::Listed { instance, .. } | Fact::Unacknowledged { instance, .. } => Some(*instance),
        Fact::Unlisted(instance)
        | Fact::Healthy(instance)
        | Fact::Restarted(instance)
        | Fact::Unresponsive(instance)
        | Fact::Quiesced(instance) => Some(*instance),
        Fact::Demand(_) | Fact::Report(_) | Fact::Refused { .. } => None,
    }
}

/// An instance that a fact is about.
struct Seen<'a> {
    world: &'a World,
    key: key::Instance,
    instance: &'a Instance,
    pool: &'a Pool,
    now: Time,
}

impl Seen<'_> {
    fn leaving(&self) -> Option<Decision> {
        let gone = matches!(self.instance.state, State::Gone | State::Failed | State::Stopped);
        let known = self.instance.purpose == Some(Purpose::Leaving);
        (!gone && !known).then_some(self.leave())
    }

    fn listed(&self) -> Option<Decision> {
        if self.held() < LIST_LAG {
            return None;
        }
        match (self.instance.state, self.instance.purpose) {
            (State::Gone, _) => Some(Decision::Enlist(Box::new(self.instance.clone()))),
            (State::Draining | State::Drained, Some(Purpose::Leaving)) => {
                Some(Decision::Return { instance: self.key, reason: Reason::Healthy })
            }
            _ => None,
        }
    }

    fn unlisted(&self) -> Option<Decision> {
        let held = self.held();
        match self.instance.state {
            State::Gone if held >= FORGET => Some(Decision::Forget { instance: self.key }),
            State::Gone => None,
            _ if held < LIST_LAG => None,
            State::Failed | State::Stopped | State::Drained => {
                Some(Decision::Gone { instance: self.key })
            }
            State::Serving | State::Checking if self.pool.may_leave_one_more() => {
                Some(self.leave())
            }
            State::Serving | State::Checking | State::Draining => None,
        }
    }

    fn answers(&self) -> Option<Decision> {
        match self.instance.state {
            State::Failed => Some(Decision::Check { instance: self.key }),
            State::Checking => self.pass(),
            State::Serving if self.is_suspect() => Some(Decision::Trust { instance: self.key }),
            _ => None,
        }
    }

    fn restarted(&self) -> Option<Decision> {
        match (self.instance.state, self.instance.purpose) {
            (State::Stopped, Some(Purpose::Parked)) => None,
            (State::Stopped, _) => Some(Decision::Check { instance: self.key }),
            _ => self.answers(),
        }
    }

    fn silent(&self) -> Option<Decision> {
        match self.instance.state {
            State::Serving if !self.may_fail() => {
                (!self.is_suspect()).then_some(Decision::Suspect { instance: self.key })
            }
            State::Checking if self.instance.strikes == 0 && self.held() < START_PATIENCE => None,
            State::Serving | State::Draining | State::Drained | State::Checking => {
                Some(Decision::Fail { instance: self.key })
            }
            State::Stopped | State::Failed | State::Gone => None,
        }
    }

    fn quiet(&self) -> Option<Decision> {
        let draining = self.instance.state == State::Draining;
        draining.then_some(Decision::Drained { instance: self.key })
    }

    /// An instance that has answered for long enough serves again.
    fn pass(&self) -> Option<Decision> {
        let answering = *self.world.observations.healthy_since.get(&self.key)?;
        let since = answering.max(self.instance.since);
        let check = CHECK * (1 << self.instance.strikes.min(MAX_STRIKES));
        let passed = self.now.since(since) >= check;
        passed.then_some(Decision::Return { instance: self.key, reason: Reason::Healthy })
    }

    /// Whether the signal that one more failed is to be believed.
    fn may_fail(&self) -> bool {
        self.pool.may_fail_one_more() && self.organisation_may_fail_one_more()
    }

    fn organisation_may_fail_one_more(&self) -> bool {
        let organisation = self.pool.organisation;
        let pools = self.world.pools.iter().map(|(_, pool)| pool);
        let (mut failed, mut members) = (0, 0);
        for pool in pools.filter(|pool| pool.organisation == organisation) {
            failed += pool.count_absent(Absence::Failed);
            members += pool.members;
        }
        failed < (members / 2).max(1)
    }

    fn is_suspect(&self) -> bool {
        self.pool.absences.get(&self.instance.name) == Some(&Absence::Suspect)
    }

    fn leave(&self) -> Decision {
        Decision::Drain { instance: self.key, reason: Reason::Leaving }
    }

    /// How long it has been in its state.
    fn held(&self) -> Duration {
        self.now.since(self.instance.since)
    }
}
