//! Decides on instances from facts that were observed about them.
//!
//! A fact is reported repeatedly for as long as it holds, so this module keeps no state. All
//! automatic decisions are limited: if too many instances of a pool or an organisation appear to
//! have failed at once, a false signal is more likely than that many failures.

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

/// Time for which an instance without strikes must pass health checks before it serves. It doubles
/// with each strike.
const BASE_CHECK_DURATION: Duration = Duration::from_secs(2);

/// Number of strikes beyond which the duration of the check stays the same.
const MAX_BACKOFF_STRIKES: u32 = 7;

/// Time within which a new instance must start. A new instance that is unresponsive after that counts
/// as failed.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum time by which the instance list may lag behind the tables.
const LIST_LAG: Duration = Duration::from_secs(60);

/// Time for which the row of a removed instance is kept.
const GONE_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Returns the decision that `fact` calls for, or nothing.
pub fn observe(world: &World, fact: &Fact, now: Time) -> Vec<Decision> {
    let Some(key) = subject(fact) else {
        return Vec::new();
    };
    let Some(instance) = world.instances.get(key) else {
        return Vec::new();
    };
    let Some(pool) = world.pools.get(instance.pool) else {
        return Vec::new();
    };
    let observed = Observed { world, key, instance, pool, now };
    let decision = match fact {
        Fact::Listed { leaving: true, .. } => observed.leaving(),
        Fact::Listed { leaving: false, .. } => observed.listed(),
        Fact::Unlisted(_) => observed.unlisted(),
        Fact::Healthy(_) => observed.healthy(),
        Fact::Restarted(_) => observed.restarted(),
        Fact::Unresponsive(_) => observed.unresponsive(),
        Fact::Quiesced(_) => observed.quiesced(),
        Fact::Unacknowledged { .. } | Fact::Demand(_) => None,
        Fact::Report(_) | Fact::Refused { .. } => None,
    };
    decision.into_iter().collect()
}

/// The instance that a fact concerns, if it concerns one.
const fn subject(fact: &Fact) -> Option<key::Instance> {
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

/// The instance that a fact concerns, and its pool.
struct Observed<'a> {
    world: &'a World,
    key: key::Instance,
    instance: &'a Instance,
    pool: &'a Pool,
    now: Time,
}

impl Observed<'_> {
    fn leaving(&self) -> Option<Decision> {
        let is_down = matches!(self.instance.state, State::Gone | State::Failed | State::Stopped);
        let is_leaving = self.instance.purpose == Some(Purpose::Leaving);
        (!is_down && !is_leaving).then_some(self.drain_leaving())
    }

    fn listed(&self) -> Option<Decision> {
        if self.state_age() < LIST_LAG {
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
        let elapsed = self.state_age();
        match self.instance.state {
            State::Gone if elapsed >= GONE_RETENTION => {
                Some(Decision::Forget { instance: self.key })
            }
            State::Gone => None,
            _ if elapsed < LIST_LAG => None,
            State::Failed | State::Stopped | State::Drained => {
                Some(Decision::Gone { instance: self.key })
            }
            State::Serving | State::Checking if self.pool.may_drain_one_more_unlisted() => {
                Some(self.drain_leaving())
            }
            State::Serving | State::Checking | State::Draining => None,
        }
    }

    fn healthy(&self) -> Option<Decision> {
        match self.instance.state {
            State::Failed => Some(Decision::Check { instance: self.key }),
            State::Checking => self.finish_check(),
            State::Serving if self.is_suspect() => Some(Decision::Trust { instance: self.key }),
            _ => None,
        }
    }

    fn restarted(&self) -> Option<Decision> {
        match (self.instance.state, self.instance.purpose) {
            (State::Stopped, Some(Purpose::Parked)) => None,
            (State::Stopped, _) => Some(Decision::Check { instance: self.key }),
            _ => self.healthy(),
        }
    }

    fn unresponsive(&self) -> Option<Decision> {
        match self.instance.state {
            State::Serving if !self.is_failure_credible() => {
                (!self.is_suspect()).then_some(Decision::Suspect { instance: self.key })
            }
            State::Checking if self.instance.strikes == 0 && self.state_age() < START_TIMEOUT => {
                None
            }
            State::Serving | State::Draining | State::Drained | State::Checking => {
                Some(Decision::Fail { instance: self.key })
            }
            State::Stopped | State::Failed | State::Gone => None,
        }
    }

    fn quiesced(&self) -> Option<Decision> {
        let is_draining = self.instance.state == State::Draining;
        is_draining.then_some(Decision::Drained { instance: self.key })
    }

    /// Returns the instance to service once it has passed health checks for long enough.
    fn finish_check(&self) -> Option<Decision> {
        let healthy_since = *self.world.observations.healthy_since.get(&self.key)?;
        let since = healthy_since.max(self.instance.since);
        let check = BASE_CHECK_DURATION * (1 << self.instance.strikes.min(MAX_BACKOFF_STRIKES));
        let passed = self.now.since(since) >= check;
        passed.then_some(Decision::Return { instance: self.key, reason: Reason::Healthy })
    }

    /// Whether few enough instances have failed for one more failure to be credible.
    fn is_failure_credible(&self) -> bool {
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

    fn drain_leaving(&self) -> Decision {
        Decision::Drain { instance: self.key, reason: Reason::Leaving }
    }

    /// Time since the instance entered its state.
    fn state_age(&self) -> Duration {
        self.now.since(self.instance.since)
    }
}
